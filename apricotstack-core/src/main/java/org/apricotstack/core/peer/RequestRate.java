package org.apricotstack.core.peer;

/**
 * Requests per second of a router; the rate rises at once and decays slowly.
 *
 * <p>The number of active routers depends on this rate. If it fell as fast as it rises, callers would be moved away
 * from routers between two bursts and return to routers whose load tables are empty.
 */
public final class RequestRate {

    /** Time constant of the decay, in milliseconds; longer than callers usually cache addresses. */
    static final double DECAY_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private long requestCount;
    private long sinceMillis;
    private double perSecond;

    /**
     * Starts the first interval.
     *
     * @param nowMillis the current time
     */
    public RequestRate(long nowMillis) {
        this.sinceMillis = nowMillis;
    }

    /** Counts a request. */
    public void count() {
        requestCount++;
    }

    /**
     * Ends an interval and returns the rate.
     *
     * @param nowMillis the current time
     * @return requests per second: the rate of this interval or the decayed earlier rate, whichever is higher
     */
    public double endInterval(long nowMillis) {
        long intervalMillis = nowMillis - sinceMillis;
        if (intervalMillis > 0) {
            double intervalRate = requestCount * MILLIS_PER_SECOND / intervalMillis;
            perSecond = Math.max(intervalRate, perSecond * Math.exp(-intervalMillis / DECAY_MILLIS));
            requestCount = 0;
            sinceMillis = nowMillis;
        }
        return perSecond;
    }

    /**
     * Returns the rate at the end of the last interval.
     *
     * @return requests per second
     */
    public double perSecond() {
        return perSecond;
    }
}
