package org.apricotstack.core.dispatch;

/**
 * Outlier ejection of an upstream: ejects it after consecutive failures and readmits it with a single trial request.
 *
 * <p>A dead engine returns failures faster than a healthy one answers requests, so a choice by least load would send
 * it everything. The ejection time doubles up to a maximum.
 */
public final class UpstreamHealth {

    /** Consecutive failures that eject an upstream. */
    static final int EJECTION_FAILURES = 2;

    /** First ejection time, in milliseconds. */
    static final long BASE_EJECTION_MILLIS = 1_000;

    /** Maximum ejection time, in milliseconds. */
    static final long MAX_EJECTION_MILLIS = 16_000;

    private int failures;
    private long ejectedUntilMillis = Long.MIN_VALUE;

    /** Records a successful attempt. */
    void succeeded() {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records a failed attempt.
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
     * @return whether it is healthy, or due for its trial request
     */
    boolean acceptsWork(long nowMillis, int streams) {
        if (failures < EJECTION_FAILURES) {
            return true;
        }
        return nowMillis >= ejectedUntilMillis && streams == 0;
    }

    /**
     * Tells whether the upstream is ejected.
     *
     * @return whether it has had too many consecutive failures
     */
    boolean isEjected() {
        return failures >= EJECTION_FAILURES;
    }
}
