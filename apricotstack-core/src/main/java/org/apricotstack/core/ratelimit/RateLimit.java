package org.apricotstack.core.ratelimit;

/**
 * A rate limit in force for one incarnation of an upstream.
 *
 * @param perSecond requests per second from all routers together; may be 0
 * @param advertisedMillis time of the latest response that advertised it, or from which on requests to a cold upstream
 *     may have been sent without a permit, in milliseconds of the local clock
 * @param terms the time over which it holds
 */
public record RateLimit(double perSecond, long advertisedMillis, PermitTerms terms) {

    /**
     * Creates a limit that an upstream advertised.
     *
     * @param perSecond requests per second from all routers together; may be 0
     * @param advertisedMillis time of the latest response that advertised it, in milliseconds of the local clock
     */
    public RateLimit(double perSecond, long advertisedMillis) {
        this(perSecond, advertisedMillis, PermitTerms.AVERAGE);
    }
}
