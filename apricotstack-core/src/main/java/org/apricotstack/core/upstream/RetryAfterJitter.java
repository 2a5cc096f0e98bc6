package org.apricotstack.core.upstream;

/**
 * Spreads the return of callers that were refused for the same reason until the same moment.
 *
 * <p>Without it all callers that came during a back-off would be back in the millisecond in which it ends, and the
 * upstream would turn them away again.
 */
public final class RetryAfterJitter {

    /** Least time over which callers are spread, in milliseconds. */
    public static final long LEAST_MILLIS = 200;

    /** Share of the waiting time over which callers are spread. */
    private static final int SHARE = 4;

    /** Spreads the bits of numbers that differ little; the golden ratio in 64 bits. */
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private RetryAfterJitter() {}

    /**
     * Returns when a caller should come back.
     *
     * @param opensMillis time until an upstream takes requests, in milliseconds
     * @param caller a number that differs from caller to caller
     * @return milliseconds: not before that time, and at most a quarter of it and {@link #LEAST_MILLIS} later
     */
    public static long millis(long opensMillis, long caller) {
        long spread = LEAST_MILLIS + opensMillis / SHARE;
        return opensMillis + Long.remainderUnsigned(caller * MIX, spread + 1);
    }
}
