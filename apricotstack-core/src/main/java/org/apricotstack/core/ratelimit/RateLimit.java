package org.apricotstack.core.ratelimit;

/**
 * A rate limit in force for one incarnation of an upstream.
 *
 * @param perSecond requests per second from all routers together; may be 0
 * @param advertisedMillis time of the latest response that advertised it, in milliseconds of the local clock
 */
public record RateLimit(double perSecond, long advertisedMillis) {}
