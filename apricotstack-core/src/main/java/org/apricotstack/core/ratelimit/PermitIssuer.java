package org.apricotstack.core.ratelimit;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * Grants permits for limited upstreams, for all routers that ask this one.
 *
 * <p>What goes wrong without it: each router keeps to a limit alone, and together they send as many times more; or each
 * takes an equal part, which for a small limit is less than a request in the time for which callers wait.
 *
 * <p>Routers that get no permit are told when to come back, one after the other, so that a small limit in a large fleet
 * is not asked for by all routers at each permit.
 */
public final class PermitIssuer {

    /** Least rate, in requests a second: an upstream that gets no request could never say that it has recovered. */
    public static final double MIN_PER_SECOND = 0.1;

    /** Permits that add up while nobody asks: with fewer, a small limit is not used up between chance arrivals. */
    private static final double BURST_PERMITS = 2;

    /** Rate that adds up beyond them, in seconds. */
    private static final double BURST_SECONDS = 0.25;

    /** Rate that is withheld when this router begins to keep a limit, in seconds; another may have kept it so far. */
    private static final double INITIAL_DEBT_SECONDS = 1;

    /** Most that requests without a permit may take in advance, in seconds of the rate. */
    private static final double MAX_DEBT_SECONDS = 4;

    /** Routers that are told to come back for each permit; some of them have no request by then. */
    private static final double RETRIES_PER_PERMIT = 4;

    /** Least time between two of them, in milliseconds. */
    private static final double MIN_RETRY_SPACING_MILLIS = 10;

    /** Longest time after which a router is told to come back, in milliseconds. */
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /** Shortest time after which a router is told to come back, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<UpstreamId, PermitBalance> balances = new HashMap<>();

    /** What may still be sent to one upstream. */
    private static final class PermitBalance {
        private double permits;
        private long accruedUntilMillis;
        private double nextRetryMillis;

        /** Opens an account from which nothing may be taken for a while. */
        private PermitBalance(double perSecond, long nowMillis) {
            this.permits = -INITIAL_DEBT_SECONDS * perSecond;
            this.accruedUntilMillis = nowMillis;
        }

        /** Adds what the time since the last count brings. */
        private void accrue(double perSecond, long nowMillis) {
            double accrued = Math.max(0, nowMillis - accruedUntilMillis) / MILLIS_PER_SECOND * perSecond;
            permits = Math.min(BURST_PERMITS + BURST_SECONDS * perSecond, permits + accrued);
            accruedUntilMillis = Math.max(accruedUntilMillis, nowMillis);
        }

        /** Takes whole permits. */
        private int take(int wanted) {
            int granted = (int) Math.max(0, Math.min(wanted, Math.floor(permits)));
            permits -= granted;
            return granted;
        }

        /** Returns the time after which the next router should come back, in milliseconds. */
        private long againMillis(double perSecond, long nowMillis) {
            if (permits >= 1) {
                return 0;
            }
            double readyMillis = nowMillis + (1 - permits) / perSecond * MILLIS_PER_SECOND;
            double retryMillis = Math.max(readyMillis, nextRetryMillis);
            nextRetryMillis = Math.min(retryMillis, nowMillis + MAX_RETRY_AFTER_MILLIS)
                    + Math.max(MIN_RETRY_SPACING_MILLIS, MILLIS_PER_SECOND / (RETRIES_PER_PERMIT * perSecond));
            double again = Math.ceil(retryMillis - nowMillis);
            return (long) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, again));
        }
    }

    /**
     * Grants permits.
     *
     * @param upstream the limited upstream
     * @param perSecond its limit, in requests a second
     * @param share share of the routers that this one speaks for, 0 to 1; others may have a keeper of their own
     * @param wanted permits that the asking router can use soon
     * @param nowMillis the time
     * @return the permits, and when to ask again
     */
    public PermitGrant grant(UpstreamId upstream, double perSecond, double share, int wanted, long nowMillis) {
        double rate = rate(perSecond, share);
        PermitBalance balance = balance(upstream, rate, nowMillis);
        int granted = balance.take(wanted);
        return new PermitGrant(granted, balance.againMillis(rate, nowMillis));
    }

    /**
     * Counts requests that were sent without a permit.
     *
     * @param upstream the limited upstream
     * @param perSecond its limit, in requests a second
     * @param share share of the routers that this one speaks for, 0 to 1
     * @param requests how many
     * @param nowMillis the time
     */
    public void charge(UpstreamId upstream, double perSecond, double share, int requests, long nowMillis) {
        double rate = rate(perSecond, share);
        PermitBalance balance = balance(upstream, rate, nowMillis);
        balance.permits = Math.max(-Math.max(1, MAX_DEBT_SECONDS * rate), balance.permits - requests);
    }

    /** Returns the rate that is granted here. */
    private static double rate(double perSecond, double share) {
        return Math.max(MIN_PER_SECOND, perSecond) * share;
    }

    /** Returns the account of an upstream as it is now. */
    private PermitBalance balance(UpstreamId upstream, double rate, long nowMillis) {
        PermitBalance balance = balances.computeIfAbsent(upstream, id -> new PermitBalance(rate, nowMillis));
        balance.accrue(rate, nowMillis);
        return balance;
    }

    /**
     * Forgets upstreams that are not limited any more.
     *
     * @param limits the limits that hold
     */
    public void retain(LimitTable limits) {
        if (!balances.isEmpty()) {
            balances.keySet().removeIf(upstream -> limits.find(upstream) == null);
        }
    }

    /**
     * Returns of how many upstreams this router has granted permits.
     *
     * @return upstreams
     */
    public int size() {
        return balances.size();
    }
}
