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
public record OtherRouters(boolean ready, long longestLeftMillis, long soonestEndMillis) {

    /** No other router is alive. */
    public static final OtherRouters NONE = new OtherRouters(false, 0, Long.MAX_VALUE);

    /** Another router is ready, and none is stopping. */
    public static final OtherRouters READY = new OtherRouters(true, 0, Long.MAX_VALUE);
}
