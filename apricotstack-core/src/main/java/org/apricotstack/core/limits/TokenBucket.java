package org.apricotstack.core.limits;

import org.apricotstack.core.time.Deadline;

/**
 * A token bucket that may go into debt: a request is admitted if the balance is positive, and is then charged its whole
 * cost.
 *
 * <p>Without debt the bucket would never admit a prompt that is longer than the burst, and this router's share of the
 * burst may be smaller than the longest prompts. The mean rate is still enforced, as the next request has to wait until
 * the debt is repaid.
 */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double balance;
    private long lastNanos;

    /**
     * Creates a full bucket.
     *
     * @param burst capacity, in tokens
     * @param nowNanos the local clock
     */
    public TokenBucket(double burst, long nowNanos) {
        this.balance = burst;
        this.lastNanos = nowNanos;
    }

    /**
     * Charges the cost of a request.
     *
     * @param cost cost, in tokens
     * @param perSecond refill rate, in tokens per second
     * @param burst capacity, in tokens
     * @param nowNanos the local clock
     * @return 0 if the request is admitted, otherwise the milliseconds until one can be admitted
     */
    public long take(double cost, double perSecond, double burst, long nowNanos) {
        double elapsedMillis = (double) (nowNanos - lastNanos) / Deadline.NANOS_PER_MILLI;
        lastNanos = nowNanos;
        balance = Math.min(burst, balance + elapsedMillis * perSecond / MILLIS_PER_SECOND);
        if (balance > 0) {
            balance -= cost;
            return 0;
        }
        if (perSecond <= 0) {
            return (long) MILLIS_PER_SECOND;
        }
        return (long) Math.ceil(-balance * MILLIS_PER_SECOND / perSecond) + 1;
    }

    /** Refunds unused tokens of a request. */
    void giveBack(double tokens) {
        balance += tokens;
    }
}
