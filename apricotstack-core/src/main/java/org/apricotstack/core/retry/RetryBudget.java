package org.apricotstack.core.retry;

/**
 * Limits retries to a share of the first attempts.
 *
 * <p>Without a budget each request would take several attempts when a whole group fails, and the remaining groups would
 * receive a multiple of the traffic and fail too.
 */
public final class RetryBudget {

    /** Maximum number of unused retries that accumulate. */
    private static final double MAX_BALANCE = 50;

    private double balance = MAX_BALANCE;

    /**
     * Records a first attempt.
     *
     * @param share number of retries added to the budget
     */
    public synchronized void deposit(double share) {
        balance = Math.min(MAX_BALANCE, balance + share);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return whether the budget allows it
     */
    public synchronized boolean trySpend() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
