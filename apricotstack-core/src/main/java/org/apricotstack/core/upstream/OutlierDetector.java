package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.UpstreamId;

/**
 * Judges upstreams by the requests sent to them: probes cost the users money and see less.
 *
 * <p>An upstream that failed is avoided for a time that doubles with each failure in a row, then tried with a single
 * request. One that fails a share of its requests at random, with successes between, is seen by its failure rate.
 * Judgements raise a cost and never exclude, so that a service whose upstreams all fail is still tried.
 */
public final class OutlierDetector {

    /** Time for which an upstream is avoided after its first failure, in milliseconds. */
    private static final long FIRST_AVOID_MILLIS = 700;

    /** Longest time for which an upstream is avoided, in milliseconds. */
    private static final long MOST_AVOID_MILLIS = 2_500;

    /**
     * Time for which an upstream that was full is avoided, in milliseconds. By then some of its slots are free again;
     * sooner, a second request is rejected too and has used its attempts.
     */
    private static final long FULL_AVOID_MILLIS = 400;

    /** Weight of the newest outcome in the failure rate; about the last eight count. */
    private static final double RATE_WEIGHT = 0.12;

    /** Probability of failure that is assumed while an upstream is avoided. */
    private static final double AVOIDED_PROBABILITY = 0.95;

    /** Failures in a row that still double the time of avoidance. */
    private static final int MOST_DOUBLINGS = 4;

    /** Failures in a row, of a kind that single requests meet too, from which an upstream is avoided. */
    private static final int ROW_OF_SINGLE_FAILURES = 3;

    /** Time for which no orders are given to an upstream that left one unanswered, in milliseconds. */
    private static final long ORDERS_LOST_MILLIS = 15_000;

    /** Time between failures of two upstreams that have one cause here, in milliseconds. */
    private static final long TOGETHER_MILLIS = 50;

    private final Map<UpstreamId, Judgement> judgements = new HashMap<>();
    private UpstreamId lastFailed;
    private long lastFailedMillis;

    /** What is known of one upstream. */
    private static final class Judgement {
        private int failuresInRow;
        private double rate;
        private long avoidUntilMillis = Long.MIN_VALUE;
        private long noOrdersUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Notes that an upstream served a request.
     *
     * @param id the upstream
     */
    public void succeeded(UpstreamId id) {
        Judgement judgement = judgements.get(id);
        if (judgement != null) {
            judgement.failuresInRow = 0;
            judgement.avoidUntilMillis = Long.MIN_VALUE;
            judgement.rate *= 1 - RATE_WEIGHT;
        }
    }

    /**
     * Notes that an upstream failed a request.
     *
     * @param id the upstream
     * @param kind how
     * @param nowMillis the time
     * @return milliseconds for which it is avoided from now; 0 if it is not
     */
    public long failed(UpstreamId id, FailureKind kind, long nowMillis) {
        Judgement judgement = judgements.computeIfAbsent(id, key -> new Judgement());
        judgement.failuresInRow++;
        judgement.rate += (1 - judgement.rate) * RATE_WEIGHT;
        boolean others = kind != FailureKind.NO_CONNECTION && failsTogether(id, nowMillis);
        if (!kind.concernsAll() && (others || judgement.failuresInRow < ROW_OF_SINGLE_FAILURES)) {
            judgement.failuresInRow -= others ? 1 : 0;
            return 0;
        }
        long avoid = Math.min(
                MOST_AVOID_MILLIS, FIRST_AVOID_MILLIS << Math.min(MOST_DOUBLINGS, judgement.failuresInRow - 1));
        judgement.avoidUntilMillis = Math.max(judgement.avoidUntilMillis, nowMillis + avoid);
        return avoid;
    }

    /**
     * Notes that an upstream rejected a request as it was full, though it was believed to have room. That is no fault,
     * and says nothing of later requests.
     *
     * @param id the upstream
     * @param nowMillis the time
     * @return milliseconds for which it is avoided from now
     */
    public long rejectedAsFull(UpstreamId id, long nowMillis) {
        reportedByPeer(id, FULL_AVOID_MILLIS, nowMillis);
        return FULL_AVOID_MILLIS;
    }

    /**
     * Tells whether another upstream failed at the same moment. Then it is this router's own connections that broke,
     * and
     * to avoid the upstreams would leave none.
     */
    private boolean failsTogether(UpstreamId id, long nowMillis) {
        boolean together =
                lastFailed != null && !lastFailed.equals(id) && nowMillis - lastFailedMillis <= TOGETHER_MILLIS;
        lastFailed = id;
        lastFailedMillis = nowMillis;
        return together;
    }

    /**
     * Takes in that a peer avoids an upstream.
     *
     * @param id the upstream
     * @param avoidMillis for how long from now, in milliseconds
     * @param nowMillis the time
     */
    public void reportedByPeer(UpstreamId id, long avoidMillis, long nowMillis) {
        Judgement judgement = judgements.computeIfAbsent(id, key -> new Judgement());
        long until = nowMillis + Math.min(MOST_AVOID_MILLIS, avoidMillis);
        judgement.avoidUntilMillis = Math.max(judgement.avoidUntilMillis, until);
    }

    /**
     * Estimates the probability that a request fails.
     *
     * @param id the upstream
     * @param nowMillis the time
     * @return 0 to 1
     */
    public double failureProbability(UpstreamId id, long nowMillis) {
        Judgement judgement = judgements.get(id);
        if (judgement == null) {
            return 0;
        }
        return nowMillis < judgement.avoidUntilMillis ? AVOIDED_PROBABILITY : judgement.rate;
    }

    /**
     * Notes that an upstream whose avoidance ended is tried, so that one request and not all go to it at once.
     *
     * @param id the upstream
     * @param nowMillis the time
     */
    public void trialStarted(UpstreamId id, long nowMillis) {
        Judgement judgement = judgements.get(id);
        if (judgement != null && judgement.failuresInRow > 0 && nowMillis >= judgement.avoidUntilMillis) {
            judgement.avoidUntilMillis = nowMillis + FIRST_AVOID_MILLIS;
        }
    }

    /**
     * Notes that an upstream left an order unanswered.
     *
     * @param id the upstream
     * @param nowMillis the time
     */
    public void ordersLost(UpstreamId id, long nowMillis) {
        judgements.computeIfAbsent(id, key -> new Judgement()).noOrdersUntilMillis = nowMillis + ORDERS_LOST_MILLIS;
    }

    /**
     * Tells whether orders to an upstream are likely to be answered.
     *
     * @param id the upstream
     * @param nowMillis the time
     * @return whether none was lost lately
     */
    public boolean takesOrders(UpstreamId id, long nowMillis) {
        Judgement judgement = judgements.get(id);
        return judgement == null || nowMillis >= judgement.noOrdersUntilMillis;
    }

    /**
     * Forgets upstreams that are no longer listed; a request to one may still fail after it was taken off.
     *
     * @param listed tells which starts of upstreams are listed
     */
    public void retain(Predicate<UpstreamId> listed) {
        judgements.keySet().removeIf(id -> !listed.test(id));
    }
}
