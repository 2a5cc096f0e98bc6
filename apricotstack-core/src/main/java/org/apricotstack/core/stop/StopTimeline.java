package org.apricotstack.core.stop;

/** The time between the stop signal of a router and the end of its process. */
public final class StopTimeline {

    /** Time for the last responses and log lines before the process would be killed, in milliseconds. */
    private static final long MARGIN_MILLIS = 400;

    private final long timeoutMillis;
    private boolean stopping;
    private boolean ended;
    private long signalMillis;
    private long announcedMillis;

    /**
     * Creates the timeline of a router that is not stopping.
     *
     * @param timeoutMillis time between the signal and the kill of the process, in milliseconds
     */
    public StopTimeline(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Returns the longest time from the signal to the end of the process.
     *
     * @return milliseconds
     */
    public long durationMillis() {
        return Math.max(0, timeoutMillis - MARGIN_MILLIS);
    }

    /**
     * Records the signal; further signals have no effect.
     *
     * @param sentMillis the earliest time at which it may have been sent
     * @param nowMillis the current time, from which on the other routers know of the stop
     */
    public void begin(long sentMillis, long nowMillis) {
        if (!stopping) {
            stopping = true;
            signalMillis = sentMillis;
            announcedMillis = nowMillis;
        }
    }

    /** Records that the process takes no more requests. */
    public void end() {
        ended = true;
    }

    /**
     * Returns how long a stopping router still takes requests, for the other routers.
     *
     * @param nowMillis the current time
     * @return milliseconds; 0 if it is not stopping or has ended
     */
    public long takesRequestsMillis(long nowMillis) {
        return stopping && !ended ? Math.max(0, leftMillis(nowMillis)) : 0;
    }

    /**
     * Returns whether the router is stopping.
     *
     * @return whether a signal was recorded
     */
    public boolean stopping() {
        return stopping;
    }

    /**
     * Returns the time since the signal.
     *
     * @param nowMillis the current time
     * @return milliseconds; 0 if the router is not stopping
     */
    public long elapsedMillis(long nowMillis) {
        return stopping ? nowMillis - signalMillis : 0;
    }

    /**
     * Returns the time for which the other routers have known of the stop.
     *
     * @param nowMillis the current time
     * @return milliseconds; 0 if the router is not stopping
     */
    public long announcedForMillis(long nowMillis) {
        return stopping ? nowMillis - announcedMillis : 0;
    }

    /**
     * Returns the time that was left when the other routers were told of the stop.
     *
     * @return milliseconds, negative if there was none
     */
    public long leftWhenAnnouncedMillis() {
        return leftMillis(announcedMillis);
    }

    /**
     * Returns the time until the process ends in any case.
     *
     * @param nowMillis the current time
     * @return milliseconds, negative if it is over; {@link Long#MAX_VALUE} if the router is not stopping
     */
    public long leftMillis(long nowMillis) {
        return stopping ? durationMillis() - elapsedMillis(nowMillis) : Long.MAX_VALUE;
    }
}
