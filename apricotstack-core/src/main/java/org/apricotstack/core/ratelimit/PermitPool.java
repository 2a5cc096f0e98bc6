package org.apricotstack.core.ratelimit;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/** The permits that this router holds for limited upstreams, and when it may ask for more. */
public final class PermitPool {

    /** Time for which a permit may be used, in milliseconds from the question. */
    static final long PERMIT_MILLIS = 1_000;

    /** Time whose requests one question covers, in seconds. */
    private static final double COVERED_SECONDS = 0.5;

    /** Permits that are asked for at once, at most. */
    private static final int MOST_WANTED = 64;

    /** Time over which the demand is counted, in milliseconds. */
    private static final long DEMAND_MILLIS = 1_000;

    /** Shortest time for which a keeper that granted nothing is not asked, in milliseconds. */
    private static final long LEAST_CLOSED_MILLIS = 20;

    /** Time for which a keeper that did not answer is not asked, in milliseconds. */
    private static final long UNANSWERED_MILLIS = 300;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<UpstreamId, Held> held = new HashMap<>();

    /** What is held for one upstream. */
    private static final class Held {
        private int permits;
        private long untilMillis;
        private long closedUntilMillis;
        private double closedAtPerSecond;
        private int demand;
        private int demandBefore;
        private long demandFromMillis;

        /** Counts a request that could be sent there. */
        private void want(long nowMillis) {
            long passed = nowMillis - demandFromMillis;
            if (passed >= DEMAND_MILLIS) {
                demandBefore = passed < 2 * DEMAND_MILLIS ? demand : 0;
                demand = 0;
                demandFromMillis = nowMillis;
            }
            demand++;
        }

        /** Returns the requests that could be sent there, a second. */
        private double perSecond() {
            return Math.max(demand, demandBefore) * MILLIS_PER_SECOND / DEMAND_MILLIS;
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
    private Held held(UpstreamId upstream) {
        return held.computeIfAbsent(upstream, id -> new Held());
    }

    /**
     * Counts a request that could be sent to an upstream, so that permits are asked for in time.
     *
     * @param upstream the limited upstream
     * @param nowMillis the time
     */
    public void want(UpstreamId upstream, long nowMillis) {
        held(upstream).want(nowMillis);
    }

    /**
     * Uses a permit.
     *
     * @param upstream the limited upstream
     * @param nowMillis the time
     * @return whether there was one
     */
    public boolean take(UpstreamId upstream, long nowMillis) {
        Held one = held(upstream);
        if (one.permits == 0 || nowMillis >= one.untilMillis) {
            return false;
        }
        one.permits--;
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
        Held one = held.get(upstream);
        boolean closed =
                one != null && one.isClosed(limit, nowMillis) && (one.permits == 0 || nowMillis >= one.untilMillis);
        return closed ? one.closedUntilMillis - nowMillis : 0;
    }

    /**
     * Returns how many permits to ask for.
     *
     * @param upstream the limited upstream
     * @return permits, one at least
     */
    public int wanted(UpstreamId upstream) {
        double soon = held(upstream).perSecond() * COVERED_SECONDS;
        return (int) Math.max(1, Math.min(MOST_WANTED, Math.floor(soon)));
    }

    /**
     * Takes permits in.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param grant the answer of its keeper
     * @param askedMillis when it was asked
     * @param nowMillis the time
     */
    public void granted(UpstreamId upstream, RateLimit limit, PermitGrant grant, long askedMillis, long nowMillis) {
        Held one = held(upstream);
        if (grant.permits() > 0) {
            int left = nowMillis < one.untilMillis ? one.permits : 0;
            one.permits = left + grant.permits();
            one.untilMillis = askedMillis + PERMIT_MILLIS;
        }
        long againMillis =
                grant.permits() > 0 ? grant.againMillis() : Math.max(LEAST_CLOSED_MILLIS, grant.againMillis());
        one.close(limit, againMillis, nowMillis);
    }

    /**
     * Notes that the keeper did not answer.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param nowMillis the time
     */
    public void unanswered(UpstreamId upstream, RateLimit limit, long nowMillis) {
        held(upstream).close(limit, UNANSWERED_MILLIS, nowMillis);
    }

    /**
     * Forgets upstreams that are not limited any more.
     *
     * @param limits the limits that hold
     */
    public void retain(LimitTable limits) {
        if (!held.isEmpty()) {
            held.keySet().removeIf(upstream -> limits.find(upstream) == null);
        }
    }
}
