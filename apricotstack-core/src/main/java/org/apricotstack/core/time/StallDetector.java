package org.apricotstack.core.time;

/**
 * Detects times in which the process did not run, and bounds the age of what it handles afterwards.
 *
 * <p>A signal, a request or a datagram that arrives during a stall is handled only when the stall is over, and nothing
 * tells when it was sent.
 */
public final class StallDetector {

    /** Interval at which the process has to report that it runs, in milliseconds. */
    public static final long INTERVAL_MILLIS = 100;

    /** Delay of a report from which on the process counts as stalled, in milliseconds. */
    private static final long TOLERANCE_MILLIS = 100;

    /** Time after a stall in which events that arrived meanwhile are still handled, in milliseconds. */
    private static final long BACKLOG_MILLIS = 100;

    private long lastMillis;
    private long beginMillis;
    private long endMillis;

    /**
     * Creates a detector.
     *
     * @param nowMillis the current time
     */
    public StallDetector(long nowMillis) {
        lastMillis = nowMillis;
        beginMillis = nowMillis;
        endMillis = nowMillis - BACKLOG_MILLIS;
    }

    /**
     * Records that the process runs.
     *
     * @param nowMillis the current time
     * @return length of the stall that ends now, in milliseconds; 0 if there was none
     */
    public long running(long nowMillis) {
        boolean stalled = isStall(nowMillis);
        if (stalled) {
            beginMillis = lastMillis;
            endMillis = nowMillis;
        }
        lastMillis = nowMillis;
        return stalled ? endMillis - beginMillis : 0;
    }

    /**
     * Returns the earliest time at which an event may have happened.
     *
     * @param handledMillis when it was handled; not before the last stall
     * @return the begin of the stall in which it may have waited; otherwise the given time
     */
    public long earliestMillis(long handledMillis) {
        if (isStall(handledMillis)) {
            return lastMillis;
        }
        boolean backlog = handledMillis > beginMillis && handledMillis < endMillis + BACKLOG_MILLIS;
        return backlog ? beginMillis : handledMillis;
    }

    /**
     * Returns whether the process stalled in a period that ends now.
     *
     * @param sinceMillis the begin of the period
     * @param nowMillis the current time
     * @return whether a stall has ended since then, or ends now
     */
    public boolean stalledSince(long sinceMillis, long nowMillis) {
        return endMillis > sinceMillis || isStall(nowMillis);
    }

    private boolean isStall(long nowMillis) {
        return nowMillis - lastMillis > INTERVAL_MILLIS + TOLERANCE_MILLIS;
    }
}
