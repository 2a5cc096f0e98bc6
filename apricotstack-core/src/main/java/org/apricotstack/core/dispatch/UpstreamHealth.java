package org.apricotstack.core.dispatch;

/**
 * Takes an upstream out of use after failures in a row, and back by a single request at a time.
 *
 * <p>A dead engine answers its failures faster than a sound one answers requests, so a choice by least load would
 * send it everything. The time out of use doubles up to a bound.
 */
public final class UpstreamHealth {

    /** Failures in a row that take an upstream out of use. */
    static final int EJECTION_FAILURES = 2;

    /** First time out of use, in milliseconds. */
    static final long BASE_EJECTION_MILLIS = 1_000;

    /** Longest time out of use, in milliseconds. */
    static final long MAX_EJECTION_MILLIS = 16_000;

    private int failures;
    private long ejectedUntilMillis = Long.MIN_VALUE;

    /**
     * Notes an attempt that ended well.
     */
    void succeeded() {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Notes a failed attempt.
     *
     * @param nowMillis the local clock
     */
    void failed(long nowMillis) {
        failures++;
        if (failures >= EJECTION_FAILURES) {
            int doublings = Math.min(failures - EJECTION_FAILURES, 10);
            ejectedUntilMillis = nowMillis + Math.min(MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS << doublings);
        }
    }

    /**
     * Tells whether the upstream may get work.
     *
     * @param nowMillis the local clock
     * @param streams streams that it runs
     * @return whether it is sound, or due for its one trial
     */
    boolean acceptsWork(long nowMillis, int streams) {
        if (failures < EJECTION_FAILURES) {
            return true;
        }
        return nowMillis >= ejectedUntilMillis && streams == 0;
    }

    /**
     * Tells whether the upstream is out of use.
     *
     * @return whether it has failed too often in a row
     */
    boolean isEjected() {
        return failures >= EJECTION_FAILURES;
    }
}
