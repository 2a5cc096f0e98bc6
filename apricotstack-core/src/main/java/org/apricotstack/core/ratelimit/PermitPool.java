package org.apricotstack.core.ratelimit;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/** The permits that this router holds for rate-limited upstreams, and the times from which it may request more. */
public final class PermitPool {

    /** Maximum number of permits in one permit request. */
    private static final int MAX_REQUESTED = 64;

    /** Length of the window in which demand is counted, in milliseconds. */
    private static final long DEMAND_WINDOW_MILLIS = 1_000;

    /** Minimum time between permit requests after an empty grant, in milliseconds. */
    private static final long MIN_CLOSED_MILLIS = 20;

    /** Time without permit requests after an issuer did not reply, in milliseconds. */
    private static final long UNANSWERED_MILLIS = 300;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<UpstreamId, UpstreamPermits> upstreamPermits = new HashMap<>();

    /** The permits and demand of one upstream. */
    private static final class UpstreamPermits {
        private int permits;
        private long untilMillis;
        private long closedUntilMillis;
        private double closedAtPerSecond;
        private int demand;
        private int previousDemand;
        private long windowStartMillis;

        /** Records a request that could be sent there. */
        private void recordDemand(long nowMillis) {
            long elapsed = nowMillis - windowStartMillis;
            if (elapsed >= DEMAND_WINDOW_MILLIS) {
                previousDemand = elapsed < 2 * DEMAND_WINDOW_MILLIS ? demand : 0;
                demand = 0;
                windowStartMillis = nowMillis;
            }
            demand++;
        }

        /** Returns the demand, in requests per second. */
        private double perSecond() {
            return Math.max(demand, previousDemand) * MILLIS_PER_SECOND / DEMAND_WINDOW_MILLIS;
        }

        /** Tells whether permit requests are suspended; a raised limit resumes them. */
        private boolean isClosed(RateLimit limit, long nowMillis) {
            return nowMillis < closedUntilMillis && limit.perSecond() <= closedAtPerSecond;
        }

        /** Suspends permit requests for some time. */
        private void close(RateLimit limit, long millis, long nowMillis) {
            closedUntilMillis = nowMillis + millis;
            closedAtPerSecond = limit.perSecond();
        }
    }

    /** Returns the state of an upstream. */
    private UpstreamPermits upstreamPermits(UpstreamId upstream) {
        return upstreamPermits.computeIfAbsent(upstream, id -> new UpstreamPermits());
    }

    /**
     * Records a request that could be sent to an upstream, so that enough permits are requested in advance.
     *
     * @param upstream the limited upstream
     * @param nowMillis the time
     */
    public void recordDemand(UpstreamId upstream, long nowMillis) {
        upstreamPermits(upstream).recordDemand(nowMillis);
    }

    /**
     * Uses a permit.
     *
     * @param upstream the limited upstream
     * @param nowMillis the time
     * @return whether a valid permit was available
     */
    public boolean take(UpstreamId upstream, long nowMillis) {
        UpstreamPermits held = upstreamPermits(upstream);
        if (held.permits == 0 || nowMillis >= held.untilMillis) {
            return false;
        }
        held.permits--;
        return true;
    }

    /**
     * Returns the time until a permit may be available.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param nowMillis the time
     * @return milliseconds; 0 if a permit is held or may be requested
     */
    public long blockedMillis(UpstreamId upstream, RateLimit limit, long nowMillis) {
        UpstreamPermits held = upstreamPermits.get(upstream);
        boolean closed =
                held != null && held.isClosed(limit, nowMillis) && (held.permits == 0 || nowMillis >= held.untilMillis);
        return closed ? held.closedUntilMillis - nowMillis : 0;
    }

    /**
     * Returns the number of permits to request.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @return number of permits, at least 1
     */
    public int permitsToRequest(UpstreamId upstream, RateLimit limit) {
        double expectedDemand =
                upstreamPermits(upstream).perSecond() * limit.terms().coverageSeconds();
        return (int) Math.max(1, Math.min(MAX_REQUESTED, Math.floor(expectedDemand)));
    }

    /**
     * Adds granted permits.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param grant the reply of the permit issuer
     * @param requestedMillis time of the permit request
     * @param nowMillis the time
     */
    public void granted(UpstreamId upstream, RateLimit limit, PermitGrant grant, long requestedMillis, long nowMillis) {
        UpstreamPermits held = upstreamPermits(upstream);
        if (grant.permits() > 0) {
            int remaining = nowMillis < held.untilMillis ? held.permits : 0;
            held.permits = remaining + grant.permits();
            held.untilMillis = requestedMillis + limit.terms().validMillis();
        }
        long retryAfterMillis =
                grant.permits() > 0 ? grant.retryAfterMillis() : Math.max(MIN_CLOSED_MILLIS, grant.retryAfterMillis());
        held.close(limit, retryAfterMillis, nowMillis);
    }

    /**
     * Records that the permit issuer did not reply.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param nowMillis the time
     */
    public void issuerUnavailable(UpstreamId upstream, RateLimit limit, long nowMillis) {
        upstreamPermits(upstream).close(limit, UNANSWERED_MILLIS, nowMillis);
    }

    /**
     * Removes upstreams that are no longer limited.
     *
     * @param limits the limits in force
     */
    public void retain(RateLimits limits) {
        if (!upstreamPermits.isEmpty()) {
            upstreamPermits.keySet().removeIf(upstream -> limits.find(upstream) == null);
        }
    }
}
