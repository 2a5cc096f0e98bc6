package org.apricotstack.core.ratelimit;

/**
 * A rate limit that holds for one start of an upstream.
 *
 * @param perSecond requests a second from all routers together; may be 0
 * @param advertisedMillis when the last answer came that named it, in milliseconds of the local clock
 */
public record RateLimit(double perSecond, long advertisedMillis) {}
