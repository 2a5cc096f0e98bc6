package org.apricotstack.core.ratelimit;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/** The permits that this router holds for limited upstreams, and when it may ask for more. */
public final class PermitPool {

    /** Time for which a permit may be used, in milliseconds from the question. */
    static final long PERMIT_VALID_MILLIS = 1_000;

    /** Time whose requests one question covers, in seconds. */
    private static final double DEMAND_COVERAGE_SECONDS = 0.5;

    /** Permits that are asked for at once, at most. */
    private static final int MAX_REQUESTED = 64;

    /** Time over which the demand is counted, in milliseconds. */
    private static final long DEMAND_WINDOW_MILLIS = 1_000;

    /** Shortest time for which a keeper that granted nothing is not asked, in milliseconds. */
    private static final long MIN_CLOSED_MILLIS = 20;

    /** Time for which a keeper that did not answer is not asked, in milliseconds. */
    private static final long UNANSWERED_MILLIS = 300;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<UpstreamId, UpstreamPermits> byUpstream = new HashMap<>();

    /** What is held for one upstream. */
    private static final class UpstreamPermits {
        private int permits;
        private long untilMillis;
        private long closedUntilMillis;
        private double closedAtPerSecond;
        private int demand;
        private int previousDemand;
        private long windowStartMillis;

        /** Counts a request that could be sent there. */
        private void recordDemand(long nowMillis) {
            long elapsed = nowMillis - windowStartMillis;
            if (elapsed >= DEMAND_WINDOW_MILLIS) {
                previousDemand = elapsed < 2 * DEMAND_WINDOW_MILLIS ? demand : 0;
                demand = 0;
                windowStartMillis = nowMillis;
            }
            demand++;
        }

        /** Returns the requests that could be sent there, a second. */
        private double perSecond() {
            return Math.max(demand, previousDemand) * MILLIS_PER_SECOND / DEMAND_WINDOW_MILLIS;
        }

        /** Tells whether the keeper need not be asked; a limit that was raised opens it. */
        private boolean isClosed(RateLimit limit, long nowMillis) {
            return nowMillis < closedUntilMillis && limit.perSecond() <= closedAtPerSecond;
        }

        /** Keeps the keeper from being asked for some time. */
        private void close(RateLimit limit, long millis, long nowMillis) {
            closedUntilMillis = nowMillis + millis;
            closedAtPerSecond = limit.perSecond();
        }
    }

    /** Returns what is held for an upstream. */
    private UpstreamPermits permitsOf(UpstreamId upstream) {
        return byUpstream.computeIfAbsent(upstream, id -> new UpstreamPermits());
    }

    /**
     * Counts a request that could be sent to an upstream, so that permits are asked for in time.
     *
     * @param upstream the limited upstream
     * @param nowMillis the time
     */
    public void recordDemand(UpstreamId upstream, long nowMillis) {
        permitsOf(upstream).recordDemand(nowMillis);
    }

    /**
     * Uses a permit.
     *
     * @param upstream the limited upstream
     * @param nowMillis the time
     * @return whether there was one
     */
    public boolean take(UpstreamId upstream, long nowMillis) {
        UpstreamPermits held = permitsOf(upstream);
        if (held.permits == 0 || nowMillis >= held.untilMillis) {
            return false;
        }
        held.permits--;
        return true;
    }

    /**
     * Returns the time until a permit may be had.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param nowMillis the time
     * @return milliseconds; 0 if one is held, or may be asked for
     */
    public long opensMillis(UpstreamId upstream, RateLimit limit, long nowMillis) {
        UpstreamPermits held = byUpstream.get(upstream);
        boolean closed =
                held != null && held.isClosed(limit, nowMillis) && (held.permits == 0 || nowMillis >= held.untilMillis);
        return closed ? held.closedUntilMillis - nowMillis : 0;
    }

    /**
     * Returns how many permits to ask for.
     *
     * @param upstream the limited upstream
     * @return permits, one at least
     */
    public int permitsToRequest(UpstreamId upstream) {
        double expectedDemand = permitsOf(upstream).perSecond() * DEMAND_COVERAGE_SECONDS;
        return (int) Math.max(1, Math.min(MAX_REQUESTED, Math.floor(expectedDemand)));
    }

    /**
     * Takes permits in.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param grant the answer of its keeper
     * @param requestedMillis when it was asked
     * @param nowMillis the time
     */
    public void granted(UpstreamId upstream, RateLimit limit, PermitGrant grant, long requestedMillis, long nowMillis) {
        UpstreamPermits held = permitsOf(upstream);
        if (grant.permits() > 0) {
            int remaining = nowMillis < held.untilMillis ? held.permits : 0;
            held.permits = remaining + grant.permits();
            held.untilMillis = requestedMillis + PERMIT_VALID_MILLIS;
        }
        long againMillis = grant.permits() > 0 ? grant.againMillis() : Math.max(MIN_CLOSED_MILLIS, grant.againMillis());
        held.close(limit, againMillis, nowMillis);
    }

    /**
     * Notes that the keeper did not answer.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param nowMillis the time
     */
    public void issuerUnavailable(UpstreamId upstream, RateLimit limit, long nowMillis) {
        permitsOf(upstream).close(limit, UNANSWERED_MILLIS, nowMillis);
    }

    /**
     * Forgets upstreams that are not limited any more.
     *
     * @param limits the limits that hold
     */
    public void retain(LimitTable limits) {
        if (!byUpstream.isEmpty()) {
            byUpstream.keySet().removeIf(upstream -> limits.find(upstream) == null);
        }
    }
}
