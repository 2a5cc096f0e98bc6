package org.apricotstack.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Keeps one router's share of the number of repeated sends that a service may get in a sliding window.
 *
 * <p>What goes wrong without it: when many upstreams fail, each request is sent twice, and the upstreams that are left
 * get a multiple of the traffic. All routers together must stay below {@code ratio} times the service's requests plus a
 * slack. Each keeps to its own requests and an even part of the slack, so the bound also holds when routers cannot hear
 * each other.
 */
public final class WindowedRetryBudget {

    /** Share of the allowance that is used, so that windows that slide differently on two clocks stay within it. */
    private static final double SAFETY_FACTOR = 0.9;

    private final double ratio;
    private final long windowMillis;
    private final DoubleSupplier slackShare;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats allowed for each request
     * @param windowMillis length of the sliding window, in milliseconds
     * @param slackShare repeats in a window that this router may make beyond the ratio; falls as more routers are known
     */
    public WindowedRetryBudget(double ratio, long windowMillis, DoubleSupplier slackShare) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.slackShare = slackShare;
    }

    /**
     * Notes the first send of a request.
     *
     * @param nowMillis the time
     */
    public void request(long nowMillis) {
        requests.addLast(nowMillis);
        evictExpired(nowMillis);
    }

    /**
     * Takes one repeat.
     *
     * @param nowMillis the time
     * @return whether one was left
     */
    public boolean trySpend(long nowMillis) {
        evictExpired(nowMillis);
        if (retries.size() + 1 > SAFETY_FACTOR * (ratio * requests.size() + slackShare.getAsDouble())) {
            return false;
        }
        retries.addLast(nowMillis);
        return true;
    }

    /** Forgets what lies before the window. */
    private void evictExpired(long nowMillis) {
        while (!requests.isEmpty() && requests.peekFirst() <= nowMillis - windowMillis) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.peekFirst() <= nowMillis - windowMillis) {
            retries.removeFirst();
        }
    }
}
