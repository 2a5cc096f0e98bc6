package org.apricotstack.serving;

import org.apricotstack.core.http.HeadViolation;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.MalformedResponse;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.UnmatchedResponse;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.apricotstack.serving.observe.UnmatchedResponseCause;
import org.apricotstack.serving.observe.UnmatchedResponseOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamResponseLogTest {

    private static final String SUPPRESSED = "unmatched_responses.lines_suppressed";

    private long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("router", () -> 0);
    private final ServingMetrics metrics = new ServingMetrics();
    private final UpstreamResponseLog responses = new UpstreamResponseLog(loop, log, metrics);

    @AfterEach
    void close() {
        loop.close();
        log.close();
    }

    private void unmatched(int times, String responseId) {
        for (int i = 0; i < times; i++) {
            responses.unmatched(new UnmatchedResponse(
                    new Address("127.0.0.1", 80),
                    null,
                    1,
                    2,
                    200,
                    "id",
                    responseId,
                    UnmatchedResponseCause.OTHER_ID,
                    UnmatchedResponseOutcome.SKIPPED));
        }
    }

    private long count(String name) {
        return metrics.registry().getCounters().get(name).getCount();
    }

    @Test
    void countsEachResponseAndSuppressesTheLinesBeyondTheMaximumOfASecond() {
        int beyond = 3;
        unmatched(UpstreamResponseLog.MAX_LINES_PER_SECOND + beyond, "other");
        assertThat(count("unmatched_responses.other_id")).isEqualTo(UpstreamResponseLog.MAX_LINES_PER_SECOND + beyond);
        assertThat(count("unmatched_responses.outcome.skipped"))
                .isEqualTo(UpstreamResponseLog.MAX_LINES_PER_SECOND + beyond);
        assertThat(count(SUPPRESSED)).isEqualTo(beyond);
        nowMillis = 1_000;
        unmatched(1, "x".repeat(UpstreamResponseLog.MAX_ID_CHARS + 1));
        assertThat(count(SUPPRESSED)).isEqualTo(beyond);
    }

    @Test
    void countsEachMalformedResponseByWhatItViolates() {
        int beyond = 2;
        for (int i = 0; i < UpstreamResponseLog.MAX_LINES_PER_SECOND + beyond; i++) {
            responses.malformed(
                    new MalformedResponse(new Address("127.0.0.1", 80), null, 1, 0, "id", HeadViolation.STATUS));
        }
        assertThat(count("malformed_responses.status")).isEqualTo(UpstreamResponseLog.MAX_LINES_PER_SECOND + beyond);
        assertThat(count("malformed_responses.lines_suppressed")).isEqualTo(beyond);
        assertThat(count("unmatched_responses.malformed")).isZero();
    }
}
