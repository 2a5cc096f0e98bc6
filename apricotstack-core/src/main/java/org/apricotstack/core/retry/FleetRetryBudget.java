package org.apricotstack.core.retry;

import java.util.function.DoubleSupplier;

/**
 * One router's share of the retries that all routers together may send to a service.
 *
 * <p>Without a budget each request would be sent twice when many upstreams fail, and the remaining upstreams would
 * receive a multiple of the traffic. In any window, all routers together must stay below {@code ratio} times the
 * service's requests plus a slack. The budget is a token bucket that starts empty, so a process needs no record of what
 * the one before it on its host has spent: each request adds {@code ratio} tokens, and the router's share of the slack
 * is divided into the capacity of the bucket and an even refill.
 */
public final class FleetRetryBudget {

    /** Share of the budget that is used, so that the bound also holds for windows measured by other clocks. */
    private static final double SAFETY_FACTOR = 0.95;

    /** Share of the slack that a router may accumulate; it refills at the rate of the rest. */
    private static final double CAPACITY_SHARE = 0.5;

    private final double ratio;
    private final long windowMillis;
    private final DoubleSupplier slackShare;
    private double balance;
    private double lastShare;
    private long filledMillis;

    /**
     * Creates an empty budget.
     *
     * @param ratio retries allowed per request
     * @param windowMillis length of the window, in milliseconds
     * @param slackShare retries per window that this router may send beyond the ratio; decreases with the number of
     *     known routers
     */
    public FleetRetryBudget(double ratio, long windowMillis, DoubleSupplier slackShare) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.slackShare = slackShare;
    }

    /**
     * Adds the retries that a request allows.
     *
     * @param nowMillis the time
     */
    public void request(long nowMillis) {
        refill(nowMillis);
        balance = Math.min(capacity(), balance + SAFETY_FACTOR * ratio);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis the time
     * @return whether the budget allows it
     */
    public boolean trySpend(long nowMillis) {
        if (left(nowMillis) < 1) {
            return false;
        }
        balance--;
        return true;
    }

    /**
     * Returns one retry that reached no upstream.
     *
     * @param nowMillis the time
     */
    public void refund(long nowMillis) {
        refill(nowMillis);
        balance = Math.min(capacity(), balance + 1);
    }

    /**
     * Returns the retries that may be made now.
     *
     * @param nowMillis the time
     * @return retries, with fractions
     */
    public double left(long nowMillis) {
        refill(nowMillis);
        return balance;
    }

    /** Adds the refill since the last call; a share that has just grown applies from now on. */
    private void refill(long nowMillis) {
        double share = SAFETY_FACTOR * slackShare.getAsDouble();
        double steadyShare = Math.min(lastShare, share);
        double perMillis = Math.max(0, steadyShare - capacity(steadyShare)) / windowMillis;
        lastShare = share;
        balance = Math.min(capacity(), balance + perMillis * Math.max(0, nowMillis - filledMillis));
        filledMillis = Math.max(filledMillis, nowMillis);
    }

    /** Returns the most tokens that the current share lets accumulate. */
    private double capacity() {
        return capacity(lastShare);
    }

    /** Returns the capacity of a share; it holds one retry also where routers outnumber the retries of the slack. */
    private double capacity(double share) {
        return Math.max(1 + ratio, CAPACITY_SHARE * share);
    }
}
