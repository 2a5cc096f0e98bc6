package org.apricotstack.core.stop;

/**
 * Where the callers of a stopping router can go.
 *
 * @param ready whether another router is ready
 * @param longestLeftMillis the longest time that another stopping router still takes requests, in milliseconds; 0 if
 *     there is none
 * @param soonestEndMillis time until the first other stopping router ends in any case, in milliseconds;
 *     {@link Long#MAX_VALUE} if there is none
 */
public record OtherRouters(boolean ready, long longestLeftMillis, long soonestEndMillis) {}
