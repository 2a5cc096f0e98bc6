package org.apricotstack.core.upstream;

/**
 * Adds jitter to the retry-after time of refused callers.
 *
 * <p>Without jitter all callers refused during a back-off would return in the millisecond in which it ends, and the
 * upstream would reject them again.
 */
public final class RetryAfterJitter {

    /** Minimum width of the jitter, in milliseconds. */
    public static final long MIN_MILLIS = 200;

    /** Fraction of the waiting time, as a divisor, that is added to the width of the jitter. */
    private static final int SPREAD_DIVISOR = 4;

    /** Multiplier for Fibonacci hashing: the golden ratio in 64 bits, which spreads numbers that differ in few bits. */
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private RetryAfterJitter() {}

    /**
     * Returns the retry-after time of a caller.
     *
     * @param blockedMillis time until an upstream accepts requests, in milliseconds
     * @param caller a number that differs from caller to caller
     * @return milliseconds: at least that time, and at most that time plus a quarter of it plus {@link #MIN_MILLIS}
     */
    public static long millis(long blockedMillis, long caller) {
        long spread = MIN_MILLIS + blockedMillis / SPREAD_DIVISOR;
        return blockedMillis + Long.remainderUnsigned(caller * MIX, spread + 1);
    }
}
