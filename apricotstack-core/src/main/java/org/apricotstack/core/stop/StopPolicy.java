package org.apricotstack.core.stop;

/** Decides how long a stopping router takes requests, and when its process ends. */
public final class StopPolicy {

    /** Time for which callers may still send requests, in milliseconds; longer than callers cache addresses. */
    private static final long CALLER_GRACE_MILLIS = 2_600;

    /** Share of the stop timeout after which new requests are rejected. */
    private static final double REJECT_SHARE = 0.6;

    private final long timeoutMillis;
    private final StopTimeline timeline;

    /**
     * Creates the policy of a router.
     *
     * @param timeoutMillis time between the signal and the kill of the process, in milliseconds
     */
    public StopPolicy(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
        this.timeline = new StopTimeline(timeoutMillis);
    }

    /**
     * Returns the timeline of the router's stop.
     *
     * @return the timeline
     */
    public StopTimeline timeline() {
        return timeline;
    }

    /**
     * Returns whether a new request is taken.
     *
     * @param nowMillis the current time
     * @return {@code false} if it is rejected
     */
    public boolean takesRequests(long nowMillis) {
        return timeline.elapsedMillis(nowMillis) < timeoutMillis * REJECT_SHARE;
    }

    /**
     * Returns whether idle connections of callers are closed.
     *
     * @param nowMillis the current time
     * @return {@code false} while callers may still use their connections
     */
    public boolean closesIdle(long nowMillis) {
        return timeline.elapsedMillis(nowMillis) >= CALLER_GRACE_MILLIS;
    }

    /**
     * Returns whether the process ends.
     *
     * @param open number of requests in flight
     * @param nowMillis the current time
     * @return whether no caller needs it any more, or no time is left
     */
    public boolean ends(int open, long nowMillis) {
        return closesIdle(nowMillis) && open == 0 || timeline.leftMillis(nowMillis) <= 0;
    }
}
