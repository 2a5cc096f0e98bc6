package org.apricotstack.serving.observe;

import java.util.function.LongSupplier;

/** Limits the lines of one event in a second, so that a flood of them does not displace other lines. */
public final class LineRate {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final int maxPerSecond;
    private final LongSupplier nowMillis;
    private long secondStartMillis = Long.MIN_VALUE / 2;
    private int linesInSecond;

    /**
     * Creates a limit of which nothing is used.
     *
     * @param maxPerSecond maximum of lines in a second
     * @param nowMillis the current time, in milliseconds
     */
    public LineRate(int maxPerSecond, LongSupplier nowMillis) {
        this.maxPerSecond = maxPerSecond;
        this.nowMillis = nowMillis;
    }

    /**
     * Takes a line of the current second.
     *
     * @return whether the line may be written
     */
    public boolean take() {
        long now = nowMillis.getAsLong();
        if (now - secondStartMillis >= MILLIS_PER_SECOND) {
            secondStartMillis = now;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= maxPerSecond;
    }
}
