package org.apricotstack.core.time;

/**
 * The instant by which a request must have ended, on the monotonic clock of one process.
 *
 * <p>Deadlines are never sent between hosts as wall-clock instants; see {@link PeerClock}.
 *
 * @param atNanos the instant, in nanoseconds of the local clock
 */
public record Deadline(long atNanos) {

    /** Nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time reserved for the answer of a process that works on behalf of this one, in milliseconds. */
    static final long ANSWER_MARGIN_MILLIS = 50;

    private static final long MARGIN_DIVISOR = 10;

    /**
     * Creates a deadline relative to the current time.
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
     * @return whether no time is left
     */
    public boolean hasPassed(MonotonicClock clock) {
        return clock.nanos() >= atNanos;
    }

    /**
     * Returns a slightly earlier deadline for a process that works on behalf of this one, so that its report of the
     * outcome arrives before this process has to give up.
     *
     * @param clock the local clock
     * @return a deadline that is earlier by {@link #ANSWER_MARGIN_MILLIS} or by a tenth of the remaining time,
     *     whichever is less
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
