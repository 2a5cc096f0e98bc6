package org.apricotstack.core.time;

/** A clock that only moves when it is advanced. */
public final class TestClock implements MonotonicClock {

    private long nanos = 1_000_000_000L;

    @Override
    public long nanos() {
        return nanos;
    }

    /** Advances the clock. */
    public void advanceMillis(long millis) {
        nanos += millis * Deadline.NANOS_PER_MILLI;
    }
}
