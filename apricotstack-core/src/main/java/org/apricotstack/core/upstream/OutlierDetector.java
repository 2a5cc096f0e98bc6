package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.UpstreamId;

/**
 * Passive health checking of upstreams by the outcomes of requests. Active probes would cost users money and detect
 * fewer faults.
 *
 * <p>A failed upstream is avoided for a time that doubles with each consecutive failure, and then receives a single
 * trial request. Upstreams that fail a fraction of their requests at random are detected by their failure rate. Both
 * only raise the cost of choosing an upstream and never exclude it, so a service whose upstreams all fail still
 * receives requests.
 */
public final class OutlierDetector {

    /** Time for which an upstream is avoided after its first failure, in milliseconds. */
    private static final long MIN_AVOID_MILLIS = 700;

    /** Maximum time for which an upstream is avoided, in milliseconds. */
    private static final long MAX_AVOID_MILLIS = 2_500;

    /**
     * Time for which an upstream that rejected a request for lack of capacity is avoided, in milliseconds. After this
     * time some of its slots are free again. With a shorter time the next request would be rejected too and would use
     * up its attempts.
     */
    private static final long FULL_AVOID_MILLIS = 400;

    /** Weight of the latest outcome in the moving average of the failure rate, which covers about eight outcomes. */
    private static final double FAILURE_RATE_WEIGHT = 0.12;

    /** Failure probability assumed for an upstream that is avoided. */
    private static final double EJECTED_FAILURE_PROBABILITY = 0.95;

    /** Maximum number of times that the avoidance time doubles. */
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Consecutive failures after which an upstream is avoided, for failures that also affect single requests at a
     * healthy upstream.
     */
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

    /** Time for which no orders are sent to an upstream that did not answer one, in milliseconds. */
    private static final long ORDERS_LOST_MILLIS = 15_000;

    /**
     * Maximum time between failures of two upstreams that are attributed to a common cause at this router, in
     * milliseconds.
     */
    private static final long SIMULTANEOUS_MILLIS = 50;

    private final Map<UpstreamId, HealthRecord> healthRecords = new HashMap<>();
    private UpstreamId lastFailed;
    private long lastFailedMillis;

    /** The recorded health of one upstream. */
    private static final class HealthRecord {
        private int consecutiveFailures;
        private double rate;
        private long avoidUntilMillis = Long.MIN_VALUE;
        private long noOrdersUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records that an upstream served a request.
     *
     * @param id the upstream
     */
    public void succeeded(UpstreamId id) {
        HealthRecord health = healthRecords.get(id);
        if (health != null) {
            health.consecutiveFailures = 0;
            health.avoidUntilMillis = Long.MIN_VALUE;
            health.rate *= 1 - FAILURE_RATE_WEIGHT;
        }
    }

    /**
     * Records that a request to an upstream failed.
     *
     * @param id the upstream
     * @param kind kind of the failure
     * @param nowMillis the time
     * @return milliseconds for which the upstream is avoided from now; 0 if it is not avoided
     */
    public long failed(UpstreamId id, FailureKind kind, long nowMillis) {
        HealthRecord health = healthRecords.computeIfAbsent(id, key -> new HealthRecord());
        health.consecutiveFailures++;
        health.rate += (1 - health.rate) * FAILURE_RATE_WEIGHT;
        boolean others = kind != FailureKind.NO_CONNECTION && failedSimultaneously(id, nowMillis);
        if (!kind.affectsAllRequests() && (others || health.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT)) {
            health.consecutiveFailures -= others ? 1 : 0;
            return 0;
        }
        long avoid =
                Math.min(MAX_AVOID_MILLIS, MIN_AVOID_MILLIS << Math.min(MAX_DOUBLINGS, health.consecutiveFailures - 1));
        health.avoidUntilMillis = Math.max(health.avoidUntilMillis, nowMillis + avoid);
        return avoid;
    }

    /**
     * Records that an upstream rejected a request for lack of capacity although the router had counted on a free slot.
     * This is not a failure and does not affect the failure rate.
     *
     * @param id the upstream
     * @param nowMillis the time
     * @return milliseconds for which the upstream is avoided from now
     */
    public long rejectedAsFull(UpstreamId id, long nowMillis) {
        reportedByPeer(id, FULL_AVOID_MILLIS, nowMillis);
        return FULL_AVOID_MILLIS;
    }

    /**
     * Tells whether another upstream failed at the same time. In that case this router's own connections are the likely
     * cause, and avoiding all affected upstreams would leave none.
     */
    private boolean failedSimultaneously(UpstreamId id, long nowMillis) {
        boolean together =
                lastFailed != null && !lastFailed.equals(id) && nowMillis - lastFailedMillis <= SIMULTANEOUS_MILLIS;
        lastFailed = id;
        lastFailedMillis = nowMillis;
        return together;
    }

    /**
     * Records that another router avoids an upstream.
     *
     * @param id the upstream
     * @param avoidMillis duration from now, in milliseconds
     * @param nowMillis the time
     */
    public void reportedByPeer(UpstreamId id, long avoidMillis, long nowMillis) {
        HealthRecord health = healthRecords.computeIfAbsent(id, key -> new HealthRecord());
        long until = nowMillis + Math.min(MAX_AVOID_MILLIS, avoidMillis);
        health.avoidUntilMillis = Math.max(health.avoidUntilMillis, until);
    }

    /**
     * Estimates the probability that a request to an upstream fails.
     *
     * @param id the upstream
     * @param nowMillis the time
     * @return 0 to 1
     */
    public double failureProbability(UpstreamId id, long nowMillis) {
        HealthRecord health = healthRecords.get(id);
        if (health == null) {
            return 0;
        }
        return nowMillis < health.avoidUntilMillis ? EJECTED_FAILURE_PROBABILITY : health.rate;
    }

    /**
     * Records a trial request to an upstream whose avoidance has expired, and avoids the upstream for {@link
     * #MIN_AVOID_MILLIS} again, so that it receives one request instead of all.
     *
     * @param id the upstream
     * @param nowMillis the time
     */
    public void trialStarted(UpstreamId id, long nowMillis) {
        HealthRecord health = healthRecords.get(id);
        if (health != null && health.consecutiveFailures > 0 && nowMillis >= health.avoidUntilMillis) {
            health.avoidUntilMillis = nowMillis + MIN_AVOID_MILLIS;
        }
    }

    /**
     * Records that an upstream did not answer an order.
     *
     * @param id the upstream
     * @param nowMillis the time
     */
    public void reservationCallLost(UpstreamId id, long nowMillis) {
        healthRecords.computeIfAbsent(id, key -> new HealthRecord()).noOrdersUntilMillis =
                nowMillis + ORDERS_LOST_MILLIS;
    }

    /**
     * Tells whether an upstream is expected to answer orders.
     *
     * @param id the upstream
     * @param nowMillis the time
     * @return whether no order was lost within the last 15 seconds
     */
    public boolean answersReservationCalls(UpstreamId id, long nowMillis) {
        HealthRecord health = healthRecords.get(id);
        return health == null || nowMillis >= health.noOrdersUntilMillis;
    }

    /**
     * Removes the health records of upstreams that are no longer listed. Requests to them may still fail after they
     * were removed from the list.
     *
     * @param listed tells whether an incarnation of an upstream is listed
     */
    public void retain(Predicate<UpstreamId> listed) {
        healthRecords.keySet().removeIf(id -> !listed.test(id));
    }
}
