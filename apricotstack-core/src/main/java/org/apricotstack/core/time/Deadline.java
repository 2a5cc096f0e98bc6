package org.apricotstack.core.time;

/**
 * The instant by which a request must have ended, in the monotonic clock of one process.
 *
 * <p>Deadlines never cross hosts as instants of the wall clock; see {@link PeerClock}.
 *
 * @param atNanos the instant, in nanoseconds of the local clock
 */
public record Deadline(long atNanos) {

    /** Nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for the answer of a process that works for this one, in milliseconds. */
    static final long ANSWER_MARGIN_MILLIS = 50;

    private static final long MARGIN_DIVISOR = 10;

    /**
     * Creates the deadline that lies some time ahead.
     *
     * @param clock the local clock
     * @param millis the time from now, in milliseconds
     * @return the deadline
     */
    public static Deadline in(MonotonicClock clock, long millis) {
        return new Deadline(clock.nanos() + millis * NANOS_PER_MILLI);
    }

    /**
     * Returns the time left.
     *
     * @param clock the local clock
     * @return milliseconds until the deadline, 0 once it has passed
     */
    public long remainingMillis(MonotonicClock clock) {
        return Math.max(0, (atNanos - clock.nanos()) / NANOS_PER_MILLI);
    }

    /**
     * Tells whether the deadline has passed.
     *
     * @param clock the local clock
     * @return whether nothing is left
     */
    public boolean hasPassed(MonotonicClock clock) {
        return clock.nanos() >= atNanos;
    }

    /**
     * Returns the deadline for a process that works for this one: a little earlier, so that its own word on the
     * outcome arrives before this process must give up.
     *
     * @param clock the local clock
     * @return a deadline that is earlier by {@link #ANSWER_MARGIN_MILLIS}, or by a tenth of a short time that is left
     */
    public Deadline withMargin(MonotonicClock clock) {
        long margin = Math.min(ANSWER_MARGIN_MILLIS, remainingMillis(clock) / MARGIN_DIVISOR);
        return new Deadline(atNanos - margin * NANOS_PER_MILLI);
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other one
     * @return the earlier one
     */
    public Deadline earlier(Deadline other) {
        return atNanos <= other.atNanos ? this : other;
    }
}
