package org.apricotstack.core.retry;

/**
 * Bounds retries to a share of fresh traffic.
 *
 * <p>When a whole group fails, each request would otherwise take several attempts, and the groups that are left
 * would get a multiple of the traffic and fail too.
 */
public final class RetryBudget {

    /** Retries that may be saved up. */
    private static final double MOST_SAVED = 50;

    private double saved = MOST_SAVED;

    /**
     * Notes a first attempt.
     *
     * @param share retries that it earns
     */
    public synchronized void earn(double share) {
        saved = Math.min(MOST_SAVED, saved + share);
    }

    /**
     * Takes one retry.
     *
     * @return whether one was left
     */
    public synchronized boolean trySpend() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
