package org.apricotstack.serving.run;

import org.apricotstack.core.route.Route;
import org.apricotstack.serving.observe.RefusalCause;

/** How long callers wait, and how long the router waits for an upstream before it tries another one. */
final class TimeoutPolicy {

    /** Shortest token gap after which callers abandon a stream, in milliseconds; the factors below may extend it. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;

    /**
     * Callers wait at least this many times the latency target, or {@value #TOKEN_GAPS} times the token gap target,
     * whichever is longer.
     */
    private static final long LATENCY_TARGETS = 4;

    private static final long TOKEN_GAPS = 8;

    /** Share of the caller's patience that a predicted latency may use; the rest covers the prediction error. */
    private static final double PLANNED_SHARE = 0.9;

    /**
     * Silence before the first event counts as a failure after this factor times the prediction, plus a fixed margin.
     */
    private static final double FIRST_EVENT_FACTOR = 2;

    private static final long FIRST_EVENT_MARGIN_MILLIS = 1_100;

    /** Silence between events counts as a failure after this factor times the token gap target, plus a fixed margin. */
    private static final long TOKEN_GAP_FACTOR = 2;

    private static final long TOKEN_GAP_MARGIN_MILLIS = 600;

    /**
     * After a response that is not known to belong to the request, its own one is awaited until this factor times the
     * expected time since the request was sent, and at least for a short time.
     */
    private static final long OWN_RESPONSE_FACTOR = 4;

    /** A delayed acknowledgement may hold back the end of a response for 40 ms, and a retransmission for longer. */
    private static final long MIN_OWN_RESPONSE_MILLIS = 100;

    /** Share of the remaining time after which a plain request is retried. */
    private static final double ANSWER_SHARE = 0.3;

    /** Callers follow a retry-after only up to their remaining time divided by this number. */
    private static final long RETRY_AFTER_DIVISOR = 3;

    /**
     * Time after which a full service usually has free capacity, in milliseconds: about the duration of a short
     * response.
     */
    private static final long CAPACITY_WAIT_MILLIS = 700;

    /** Interval between checks of a request that waits for capacity, in milliseconds: two batch steps. */
    static final long RECHECK_MILLIS = 100;

    /** Least time that moving a stream must gain, in milliseconds, as its prompt is prefilled again elsewhere. */
    static final double MIN_MOVE_GAIN_MILLIS = 400;

    private TimeoutPolicy() {}

    /**
     * Returns how long a caller waits for the first event, reduced by a margin for the prediction error, in
     * milliseconds.
     */
    static long patienceMillis(Route route) {
        long patience = Math.max(
                MIN_PATIENCE_MILLIS,
                Math.max(LATENCY_TARGETS * route.targetLatencyMillis(), TOKEN_GAPS * route.tokenGapTargetMillis()));
        return (long) (patience * PLANNED_SHARE);
    }

    /** Returns the silence before the first event after which another upstream is tried, in milliseconds. */
    static long firstEventLimitMillis(double predictedMillis) {
        return (long) (FIRST_EVENT_FACTOR * predictedMillis) + FIRST_EVENT_MARGIN_MILLIS;
    }

    /**
     * Returns the silence between events after which the stream is moved, in milliseconds; 0 if the request may not be
     * retried.
     */
    static long tokenGapLimitMillis(Route route) {
        return route.idempotent() ? TOKEN_GAP_FACTOR * route.tokenGapTargetMillis() + TOKEN_GAP_MARGIN_MILLIS : 0;
    }

    /**
     * Returns how long the request's own response is awaited after one that is not known to belong to it, in
     * milliseconds.
     *
     * @param expectedMillis the expected time from sending the request to its response
     * @param elapsedMillis the time since the request was sent
     * @param leftMillis the time left until the request is sent to another upstream for silence
     */
    static long ownResponseLimitMillis(long expectedMillis, long elapsedMillis, long leftMillis) {
        long usualMillis = Math.max(MIN_OWN_RESPONSE_MILLIS, OWN_RESPONSE_FACTOR * expectedMillis - elapsedMillis);
        return Math.max(1, Math.min(leftMillis, usualMillis));
    }

    /** Returns the silence after which a plain request is sent to another upstream, in milliseconds. */
    static long answerLimitMillis(Route route, long remainingMillis) {
        return Math.max(1, Math.min((long) (remainingMillis * ANSWER_SHARE), 2 * route.targetLatencyMillis()));
    }

    /** Returns the retry-after for a caller, in milliseconds; 0 for no advice. */
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
                // The end of an evacuation is not known; this is the last time at which the caller still comes back.
            case UPSTREAMS_EVACUATED -> useful;
            default -> 0;
        };
    }
}
