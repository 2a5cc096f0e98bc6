package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class CompletionTimesTest {

    private static final ServiceId SERVICE = new ServiceId("s");
    private static final EngineProfile ENGINE = new EngineProfile(10, 100_000, 50, 1, 0.01, 0.004, 100, 0, 2_048, 800);
    private static final long LIMIT_MILLIS = 10_000;

    private static final UpstreamEntry UPSTREAM = new UpstreamEntry(
            new UpstreamId("engine", 1), SERVICE, new Address("10.0.0.1", 1), new DataCentreId("east"), 8, false, 1);

    private final EngineLoadTable loadTable = new EngineLoadTable();
    private long nowMillis;
    private final StallDetector stalls = new StallDetector(0);
    private final CompletionTimes times = new CompletionTimes(loadTable, stalls);

    private static RequestFacts facts(boolean engine, long answerTokens) {
        RequestKind kind = engine ? RequestKind.STREAMING : RequestKind.SAFE;
        return StopRequests.facts(kind, engine ? ENGINE : null, 500, 5_000, answerTokens, LIMIT_MILLIS, 0);
    }

    private UpstreamChoice choice(double predictedMillis) {
        loadTable.load(UPSTREAM.id()).profile(ENGINE);
        return new UpstreamChoice(UPSTREAM, List.of(), null, predictedMillis, false, false, false);
    }

    private void record(RequestFacts facts, int count, double predictedMillis, long tookMillis) {
        for (int i = 0; i < count; i++) {
            long startMillis = nowMillis;
            run(tookMillis);
            times.completed(facts, predictedMillis, startMillis, nowMillis);
        }
    }

    private void run(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis = Math.min(endMillis, nowMillis + StallDetector.INTERVAL_MILLIS);
            stalls.running(nowMillis);
        }
    }

    /** Guards against a router that rejects, while it stops, all requests that are longer than its own last stall. */
    @Test
    void learnsNothingFromARequestDuringWhichTheProcessStalled() {
        record(facts(true, 1_000), 1, 100, 600);
        long startMillis = nowMillis;
        run(500);
        nowMillis += 3_000;
        times.completed(facts(true, 1_000), 100, startMillis, nowMillis);
        stalls.running(nowMillis);
        run(100);
        times.completed(facts(true, 1_000), 100, startMillis, nowMillis);
        assertThat(times.longestMillis(facts(true, 1_000), choice(100), 0)).isLessThan(1_500);
    }

    @Test
    void assumesThePredictedPaceOfTheEngineUpToTheLimitOfTheAnswer() {
        double millisPerToken = 1.25 * (1 + 0.01 + 5 * 0.004);
        assertThat(times.longestMillis(facts(true, 1_000), choice(100), 0))
                .isEqualTo(Math.round(100 + 1_000 * millisPerToken));
    }

    /** Guards against a stream that a stopping router does not move, though only little of its answer is left. */
    @Test
    void assumesOnlyTheRestOfAStreamThatHasBegun() {
        double millisPerToken = 1.25 * (1 + 0.01 + 5 * 0.004);
        assertThat(times.longestMillis(facts(true, 1_000), 950, choice(100), 0))
                .isEqualTo(Math.round(100 + 50 * millisPerToken));
    }

    @Test
    void assumesTheSlowestRecentAnswerInProportionToItsLimit() {
        record(facts(true, 1_000), 40, 100, 600);
        record(facts(true, 4_000), 1, 100, 8_100);
        assertThat(times.longestMillis(facts(true, 2_000), choice(300), 0)).isEqualTo(300 + 4_000);
    }

    @Test
    void countsNotTheSlowestHundredthOfTheAnswersForTheUsualTime() {
        record(facts(true, 1_000), 1, 100, 5_100);
        record(facts(true, 1_000), 198, 100, 600);
        assertThat(times.usualMillis(facts(true, 1_000), choice(100), 0)).isEqualTo(600);
        assertThat(times.longestMillis(facts(true, 1_000), choice(100), 0)).isEqualTo(5_100);
    }

    /** Guards against callers that are rejected and have nowhere to go though nearly all would be served in time. */
    @ParameterizedTest
    @CsvSource({"true, 5100", "false, 600"})
    void expectsTheUsualTimeOnlyWhileNoOtherRouterIsReady(boolean ready, long expectedMillis) {
        StopPolicy policy = new StopPolicy(8_000, new AddressLifetime(1));
        StopGate gate = new StopGate(policy, () -> new OtherRouters(ready, List.of()), loadTable, stalls);
        for (int i = 0; i < 200; i++) {
            long startMillis = nowMillis;
            run(i == 0 ? 5_100 : 600);
            gate.completed(facts(true, 1_000), 100, startMillis, nowMillis);
        }
        assertThat(gate.duration(facts(true, 1_000), choice(100), 0).longestMillis())
                .isEqualTo(expectedMillis);
    }

    @Test
    void assumesLessPrefillOfOtherPromptsForTheUsualTimeWhileFewAnswersAreKnown() {
        record(facts(true, 1_000), 31, 100, 5_100);
        double millisPerToken = 1 + 0.01 + 5 * 0.004;
        assertThat(times.usualMillis(facts(true, 1_000), choice(100), 0))
                .isEqualTo(Math.round(100 + 1_000 * 1.125 * millisPerToken));
        assertThat(times.longestMillis(facts(true, 1_000), choice(100), 0)).isEqualTo(5_100);
    }

    @Test
    void assumesTheLongestTimeForTheUsualOneOfPlainAndShortRequests() {
        record(facts(false, 0), 40, 0, 3_000);
        record(facts(true, 16), 40, 100, 2_600);
        assertThat(times.usualMillis(facts(false, 0), choice(0), 0)).isEqualTo(3_000);
        assertThat(times.usualMillis(facts(true, 100), choice(100), 0)).isEqualTo(2_600);
    }

    /** A delay of a short answer counted for each token of a long one. */
    @Test
    void learnsNoPaceFromShortAnswers() {
        record(facts(true, 16), 40, 100, 600);
        assertThat(times.longestMillis(facts(true, 1_000), choice(100), 0)).isLessThan(1_500);
    }

    @Test
    void assumesTheSlowestOfTheShortAnswersForAnotherOne() {
        record(facts(true, 16), 1, 100, 2_600);
        assertThat(times.longestMillis(facts(true, 100), choice(100), 0)).isEqualTo(100 + 2_500);
    }

    @Test
    void ignoresASingleSlowAnswerOfAPlainService() {
        record(facts(false, 0), 300, 0, 100);
        record(facts(false, 0), 1, 0, 7_000);
        assertThat(times.longestMillis(facts(false, 0), choice(0), 0)).isEqualTo(100);
    }

    @Test
    void forgetsOldAnswers() {
        record(facts(false, 0), 1, 0, 5_000);
        record(facts(false, 0), 512, 0, 1_000);
        assertThat(times.longestMillis(facts(false, 0), choice(0), 0)).isEqualTo(1_000);
    }

    @Test
    void boundsTheTimeByTheDeadline() {
        record(facts(false, 0), 40, 0, 3_000);
        assertThat(times.longestMillis(facts(false, 0), choice(0), 0)).isEqualTo(3_000);
        assertThat(times.longestMillis(facts(false, 0), choice(0), 9_000)).isEqualTo(LIMIT_MILLIS - 9_000);
    }

    @Test
    void assumesAnIdleEngineBeforeOneIsChosen() {
        assertThat(times.leastMillis(facts(true, 1_000), 0)).isEqualTo(1_000);
    }

    @Test
    void assumesSeveralLatencyTargetsForAnUnknownPlainService() {
        assertThat(times.leastMillis(facts(false, 0), 0)).isEqualTo(2_000);
    }
}
