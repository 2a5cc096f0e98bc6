package org.apricotstack.core.time;

/**
 * Reads a clock that never goes back and goes on while the process is paused.
 *
 * <p>The wall clock is not used for decisions: it is set by operators and differs between hosts.
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
