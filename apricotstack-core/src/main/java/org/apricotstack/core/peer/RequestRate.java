package org.apricotstack.core.peer;

/**
 * How many requests a second a router takes: rises at once, falls slowly.
 *
 * <p>The number of routers that take callers follows this rate. Were it to fall as fast as it rises, callers would be
 * sent away from routers between two bursts, and come back to boards that know nothing.
 */
public final class RequestRate {

    /** Time in which the rate falls to a third, in milliseconds: longer than callers usually keep addresses. */
    static final double DECAY_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private long requestCount;
    private long sinceMillis;
    private double perSecond;

    /**
     * Starts to count.
     *
     * @param nowMillis the time
     */
    public RequestRate(long nowMillis) {
        this.sinceMillis = nowMillis;
    }

    /** Counts a request. */
    public void count() {
        requestCount++;
    }

    /**
     * Ends a span of time and returns the rate.
     *
     * @param nowMillis the time
     * @return requests a second, of this span or, if that was more, what is left of earlier ones
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
     * Returns the rate at the end of the last span.
     *
     * @return requests a second
     */
    public double perSecond() {
        return perSecond;
    }
}
