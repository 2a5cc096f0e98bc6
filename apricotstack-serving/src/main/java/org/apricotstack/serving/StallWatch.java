package org.apricotstack.serving;

import org.apricotstack.core.time.StallDetector;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;

/** Looks for stalls of the process, and resynchronizes with the platform after a long one. */
final class StallWatch {

    /** Length of a stall above which this router resynchronizes with the platform, in milliseconds. */
    private static final long LONG_STALL_MILLIS = 1_000;

    private final ServingLoop loop;
    private final StallDetector stalls;
    private final ServingMetrics metrics;
    private final DecisionLog log;
    private final Runnable afterLongStall;

    /** Creates a watch that has not started. */
    StallWatch(
            ServingLoop loop, StallDetector stalls, ServingMetrics metrics, DecisionLog log, Runnable afterLongStall) {
        this.loop = loop;
        this.stalls = stalls;
        this.metrics = metrics;
        this.log = log;
        this.afterLongStall = afterLongStall;
    }

    /** Starts watching; called on the event loop. */
    void start() {
        stalls.running(loop.nowMillis());
        loop.scheduleWithFixedDelay(StallDetector.INTERVAL_MILLIS, this::detect);
    }

    /** Logs and counts a stall that has just ended. */
    private void detect() {
        long stalledMillis = stalls.running(loop.nowMillis());
        if (stalledMillis == 0) {
            return;
        }
        metrics.stalled(stalledMillis);
        log.line("process_stalled").put("millis", stalledMillis).write();
        if (stalledMillis > LONG_STALL_MILLIS) {
            afterLongStall.run();
        }
    }
}
