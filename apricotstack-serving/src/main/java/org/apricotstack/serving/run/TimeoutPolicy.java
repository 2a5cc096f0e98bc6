package org.apricotstack.serving.run;

import org.apricotstack.core.route.Route;
import org.apricotstack.serving.observe.RefusalCause;

/** How long callers wait, and how long the router waits for an upstream before it tries another one. */
final class TimeoutPolicy {

    /** Callers leave a stream after a gap of two seconds, in milliseconds, or longer as below. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;

    /** They also wait for four times the target, or eight times the allowed pause, whichever is longest. */
    private static final long LATENCY_TARGETS = 4;

    private static final long TOKEN_GAPS = 8;

    /** Share of a caller's patience that a prediction may use; the rest covers its error. */
    private static final double PLANNED_SHARE = 0.9;

    /** Silence before a first event that is put down to a fault: this many times the prediction and a fixed part. */
    private static final double FIRST_EVENT_FACTOR = 2;

    private static final long FIRST_EVENT_MARGIN_MILLIS = 1_100;

    /** Silence between events that is put down to a fault: twice the allowed pause and a fixed part. */
    private static final long TOKEN_GAP_FACTOR = 2;

    private static final long TOKEN_GAP_MARGIN_MILLIS = 600;

    /** Share of the time left after which a plain request is sent again. */
    private static final double ANSWER_SHARE = 0.3;

    /** Callers follow an advice to return only up to a third of the time that they have left. */
    private static final long RETRY_AFTER_DIVISOR = 3;

    /** Time after which a full service usually has room, in milliseconds: about the length of a short answer. */
    private static final long CAPACITY_WAIT_MILLIS = 700;

    /** Time between two looks of a request that waits for room, in milliseconds: two passes. */
    static final long RECHECK_MILLIS = 100;

    /** Time that moving a stream must gain, in milliseconds; its prompt is read again elsewhere. */
    static final double MIN_MOVE_GAIN_MILLIS = 400;

    private TimeoutPolicy() {}

    /** Returns how long a caller waits for the first event, as far as a prediction may use it. */
    static long patienceMillis(Route route) {
        long patience = Math.max(
                MIN_PATIENCE_MILLIS,
                Math.max(LATENCY_TARGETS * route.targetLatencyMillis(), TOKEN_GAPS * route.tokenGapTargetMillis()));
        return (long) (patience * PLANNED_SHARE);
    }

    /** Returns the silence before the first event after which another upstream is tried. */
    static long firstEventLimitMillis(double predictedMillis) {
        return (long) (FIRST_EVENT_FACTOR * predictedMillis) + FIRST_EVENT_MARGIN_MILLIS;
    }

    /** Returns the silence between events after which the stream is moved. */
    static long tokenGapLimitMillis(Route route) {
        return route.idempotent() ? TOKEN_GAP_FACTOR * route.tokenGapTargetMillis() + TOKEN_GAP_MARGIN_MILLIS : 0;
    }

    /** Returns the silence after which a plain request is sent to another upstream. */
    static long answerLimitMillis(Route route, long remainingMillis) {
        return Math.max(1, Math.min((long) (remainingMillis * ANSWER_SHARE), 2 * route.targetLatencyMillis()));
    }

    /** Returns when a caller should come back. */
    static long retryAfterMillis(RefusalCause cause, long remainingMillis) {
        long useful = Math.max(0, remainingMillis / RETRY_AFTER_DIVISOR);
        return switch (cause) {
            case NO_ROOM,
                    TOO_DEAR,
                    NO_UPSTREAM,
                    UPSTREAMS_DRAINING,
                    ATTEMPTS_USED,
                    RETRY_BUDGET,
                    BODY_MEMORY,
                    REPEAT_IN_TRIAL -> Math.min(useful, CAPACITY_WAIT_MILLIS);
            default -> 0;
        };
    }
}
