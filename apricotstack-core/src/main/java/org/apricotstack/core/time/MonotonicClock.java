package org.apricotstack.core.time;

/**
 * A clock that never goes backwards and continues while the process is paused.
 *
 * <p>The wall clock is not used for decisions: operators can set it, and it differs between hosts.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary start
     */
    long nanos();

    /**
     * Reads the clock in milliseconds.
     *
     * @return milliseconds since the same start
     */
    default long millis() {
        return Math.floorDiv(nanos(), Deadline.NANOS_PER_MILLI);
    }
}
