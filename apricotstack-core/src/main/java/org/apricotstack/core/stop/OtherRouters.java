package org.apricotstack.core.stop;

import java.util.List;

/**
 * Where the callers of a stopping router can go.
 *
 * @param ready whether another router is ready
 * @param stopLeftMillis the time for which each other stopping router still takes requests, in milliseconds
 */
public record OtherRouters(boolean ready, List<Long> stopLeftMillis) {

    /** No other router is known. */
    public static final OtherRouters NONE = new OtherRouters(false, List.of());

    /** Creates an immutable copy. */
    public OtherRouters {
        stopLeftMillis = List.copyOf(stopLeftMillis);
    }

    /**
     * Returns the longest time for which another stopping router still takes requests.
     *
     * @return milliseconds; 0 if there is none
     */
    public long longestLeftMillis() {
        return stopLeftMillis.stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /**
     * Returns the time until the first other stopping router ends in any case.
     *
     * @return milliseconds; {@link Long#MAX_VALUE} if there is none
     */
    public long soonestEndMillis() {
        return stopLeftMillis.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }
}
