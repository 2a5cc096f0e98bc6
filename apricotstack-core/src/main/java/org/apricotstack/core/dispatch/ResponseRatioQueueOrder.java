package org.apricotstack.core.dispatch;

/**
 * Orders by the highest response ratio, mixed with the waiting time.
 *
 * <p>The response ratio is (waiting time + own time) / own time. It is the slowdown of the request so far: a short
 * prompt overtakes a long one soon after it arrives, and a long one still moves up as it waits, so none starves. A
 * preset that values the time to first token equally for all lengths lowers the weight of the ratio.
 *
 * <ul>
 *   <li>Option {@code slowdownWeight}: 0 to 1, from the preset in force. 1 orders by slowdown alone, 0 by waiting
 *       time in units of {@link #TARGET_MILLIS}.
 * </ul>
 */
public final class ResponseRatioQueueOrder implements QueueOrder {

    /** Target of the fleet for the 95th percentile of the time to first token, in milliseconds. */
    static final double TARGET_MILLIS = 520;

    /** Minimum own time, in milliseconds, so that tiny prompts do not get ahead of all others. */
    private static final double MIN_OWN_MILLIS = 5;

    /** Rating difference of one level of service priority. */
    private static final double PRIORITY_STEP = 0.25;

    private final double slowdownWeight;

    /**
     * Creates an order.
     *
     * @param slowdownWeight the weight of the response ratio
     */
    public ResponseRatioQueueOrder(double slowdownWeight) {
        this.slowdownWeight = slowdownWeight;
    }

    @Override
    public double rate(QueuedAttempt item, double prefillMillis, long nowNanos) {
        double waited = item.waitedMillis(nowNanos);
        double own = Math.max(MIN_OWN_MILLIS, prefillMillis);
        double ratio = (waited + own) / own;
        double lateness = (waited + TARGET_MILLIS / 2) / TARGET_MILLIS;
        return slowdownWeight * ratio + (1 - slowdownWeight) * lateness - PRIORITY_STEP * item.priority();
    }
}
