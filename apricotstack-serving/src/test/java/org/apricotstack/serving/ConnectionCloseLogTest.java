package org.apricotstack.serving;

import org.apricotstack.core.stop.StopTimeline;
import org.apricotstack.serving.http.ConnectionClose;
import org.apricotstack.serving.http.RequestStage;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionCloseLogTest {

    private static final String SUPPRESSED = "connections.close_lines_suppressed";

    private long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("router", () -> 0);
    private final ServingMetrics metrics = new ServingMetrics();
    private final ConnectionCloseLog closes = new ConnectionCloseLog(loop, new StopTimeline(8_000), log, metrics);

    @AfterEach
    void close() {
        loop.close();
        log.close();
    }

    private void closed(int times, ConnectionCloseCause cause, RequestStage stage) {
        for (int i = 0; i < times; i++) {
            closes.closed(new ConnectionClose(cause, stage, "id", "127.0.0.1", null));
        }
    }

    private long count(String name) {
        return metrics.registry().getCounters().get(name).getCount();
    }

    @Test
    void countsEachCloseAndSuppressesTheLinesBeyondTheMaximumOfASecond() {
        int beyond = 3;
        closed(
                ConnectionCloseLog.MAX_LINES_PER_SECOND + beyond,
                ConnectionCloseCause.HEADER_TIMEOUT,
                RequestStage.HEAD_ARRIVING);
        assertThat(count("connections.closed.header_timeout"))
                .isEqualTo(ConnectionCloseLog.MAX_LINES_PER_SECOND + beyond);
        assertThat(count(SUPPRESSED)).isEqualTo(beyond);
        nowMillis = 1_000;
        closed(1, ConnectionCloseCause.HEADER_TIMEOUT, RequestStage.HEAD_ARRIVING);
        assertThat(count(SUPPRESSED)).isEqualTo(beyond);
    }

    @Test
    void takesNoLineForIdleConnectionsAndResetsByCallers() {
        closed(ConnectionCloseLog.MAX_LINES_PER_SECOND, ConnectionCloseCause.IDLE_TIMEOUT, RequestStage.IDLE);
        closed(ConnectionCloseLog.MAX_LINES_PER_SECOND, ConnectionCloseCause.CALLER_RESET, RequestStage.IN_FLIGHT);
        closed(ConnectionCloseLog.MAX_LINES_PER_SECOND, ConnectionCloseCause.BODY_TIMEOUT, RequestStage.BODY_ARRIVING);
        assertThat(count(SUPPRESSED)).isZero();
    }
}
