package org.apricotstack.core.retry;

/**
 * Bounds retries to a share of fresh traffic.
 *
 * <p>When a whole group fails, each request would otherwise take several attempts, and the groups that are left
 * would get a multiple of the traffic and fail too.
 */
public final class RetryBudget {

    /** Retries that may be saved up. */
    private static final double MAX_BALANCE = 50;

    private double balance = MAX_BALANCE;

    /**
     * Notes a first attempt.
     *
     * @param share retries that it earns
     */
    public synchronized void earn(double share) {
        balance = Math.min(MAX_BALANCE, balance + share);
    }

    /**
     * Takes one retry.
     *
     * @return whether one was left
     */
    public synchronized boolean trySpend() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
