package org.apricotstack.core.stop;

/**
 * Time for which callers cache the addresses of routers.
 *
 * <p>It is short enough that callers have forgotten the address of a stopping router while it still has time for their
 * last requests.
 *
 * @param seconds lifetime that an answer states, in seconds
 */
public record AddressLifetime(int seconds) {

    /** Some callers cache an answer for this many times its lifetime. */
    private static final int LONGEST_FACTOR = 3;

    /** Share of the stop timeout in which callers forget the address; the rest is for their last requests. */
    private static final double TIMEOUT_SHARE = 0.375;

    /** Longest lifetime, in seconds; callers go on with the address of a dead router until it ends. */
    private static final int MAX_SECONDS = 2;

    /** Time in which callers get a new answer once the old one has expired, in milliseconds. */
    private static final long RESOLVE_MILLIS = 200;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the lifetime for the routers of a platform.
     *
     * @param stopTimeoutMillis time between the stop signal and the kill of a router, in milliseconds
     * @param maxSeconds longest lifetime that callers accept, in seconds
     * @return the lifetime, at least a second
     */
    public static AddressLifetime of(long stopTimeoutMillis, int maxSeconds) {
        long fitting = (long) (stopTimeoutMillis * TIMEOUT_SHARE) / LONGEST_FACTOR / MILLIS_PER_SECOND;
        return new AddressLifetime((int) Math.max(1, Math.min(fitting, Math.min(maxSeconds, MAX_SECONDS))));
    }

    /**
     * Returns the longest time for which callers send requests to a router that is no longer in any answer.
     *
     * @return milliseconds
     */
    public long longestMillis() {
        return LONGEST_FACTOR * seconds * MILLIS_PER_SECOND + RESOLVE_MILLIS;
    }
}
