package org.apricotstack.core.stop;

/**
 * How long a request takes.
 *
 * @param longestMillis estimate of the longest time at the load that is known, in milliseconds; load that comes later
 *     may prolong it
 * @param limitMillis time until the deadline of the request, in milliseconds; nothing prolongs it
 */
public record RequestDuration(long longestMillis, long limitMillis) {

    /** A request that takes no time. */
    public static final RequestDuration NONE = new RequestDuration(0, 0);
}
