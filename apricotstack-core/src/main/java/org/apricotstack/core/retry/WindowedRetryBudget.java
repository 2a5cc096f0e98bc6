package org.apricotstack.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * One router's share of the retries that a service may receive in a sliding window.
 *
 * <p>Without a budget each request would be sent twice when many upstreams fail, and the remaining upstreams would
 * receive a multiple of the traffic. All routers together must stay below {@code ratio} times the service's requests
 * plus a slack. Each router counts only its own requests and uses an equal share of the slack, so the bound also holds
 * when routers are disconnected from each other.
 */
public final class WindowedRetryBudget {

    /** Share of the budget that is used, so that the bound also holds for windows measured by other clocks. */
    private static final double SAFETY_FACTOR = 0.9;

    private final double ratio;
    private final long windowMillis;
    private final DoubleSupplier slackShare;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request
     * @param windowMillis length of the sliding window, in milliseconds
     * @param slackShare retries per window that this router may send beyond the ratio; decreases with the number of
     *     known routers
     */
    public WindowedRetryBudget(double ratio, long windowMillis, DoubleSupplier slackShare) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.slackShare = slackShare;
    }

    /**
     * Records the first send of a request.
     *
     * @param nowMillis the time
     */
    public void request(long nowMillis) {
        requests.addLast(nowMillis);
        evictExpired(nowMillis);
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
        retries.addLast(nowMillis);
        return true;
    }

    /**
     * Returns the retries that may be made now.
     *
     * @param nowMillis the time
     * @return retries, with fractions
     */
    public double left(long nowMillis) {
        evictExpired(nowMillis);
        return SAFETY_FACTOR * (ratio * requests.size() + slackShare.getAsDouble()) - retries.size();
    }

    /** Removes entries that are older than the window. */
    private void evictExpired(long nowMillis) {
        while (!requests.isEmpty() && requests.peekFirst() <= nowMillis - windowMillis) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.peekFirst() <= nowMillis - windowMillis) {
            retries.removeFirst();
        }
    }
}
