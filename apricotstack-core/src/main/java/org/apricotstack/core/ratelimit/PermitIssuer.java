package org.apricotstack.core.ratelimit;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * Grants permits for rate-limited upstreams to all routers that request them from this one.
 *
 * <p>If each router applied the limit on its own, all routers together would exceed it by a factor of their number. If
 * each applied an equal part, the part of a small limit would be less than one request within the time for which
 * callers wait.
 *
 * <p>Routers that are granted no permit receive staggered retry times, so that in a large fleet not all routers request
 * each permit of a small limit.
 */
public final class PermitIssuer {

    /**
     * Minimum rate, in requests per second: an upstream that receives no requests could never signal that it has
     * recovered.
     */
    public static final double MIN_PER_SECOND = 0.1;

    /**
     * Permits withheld when this router becomes the issuer of a limit, in seconds of the rate, as another router may
     * have been the issuer so far.
     */
    private static final double INITIAL_DEBT_SECONDS = 1;

    /**
     * Time after the start of this router in which it assumes that others have issued permits before, in milliseconds.
     */
    private static final long START_MILLIS = 5_000;

    /** Maximum debt for requests sent without a permit, in seconds of the rate. */
    private static final double MAX_DEBT_SECONDS = 4;

    /** Number of routers that are scheduled to retry for each permit, as some of them have no request by then. */
    private static final double RETRIES_PER_PERMIT = 4;

    /** Minimum time between two scheduled retries, in milliseconds. */
    private static final double MIN_RETRY_SPACING_MILLIS = 10;

    /** Maximum retry time, in milliseconds. */
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /** Minimum retry time, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<UpstreamId, PermitBalance> balances = new HashMap<>();
    private final long startedMillis;

    /** Creates an issuer on a router that has been running for long. */
    PermitIssuer() {
        this(Long.MIN_VALUE / 2);
    }

    /**
     * Creates an issuer.
     *
     * @param startedMillis time at which the router started
     */
    public PermitIssuer(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /** The permits of one upstream; negative while in debt. */
    private static final class PermitBalance {
        private double permits;
        private long accruedUntilMillis;
        private double nextRetryMillis;

        /** Creates a balance with the initial debt. */
        private PermitBalance(double perSecond, double debtSeconds, long nowMillis) {
            this.permits = -debtSeconds * perSecond;
            this.accruedUntilMillis = nowMillis;
        }

        /** Adds the permits accrued since the last call. */
        private void accrue(double perSecond, double burst, long nowMillis) {
            double accrued = Math.max(0, nowMillis - accruedUntilMillis) / MILLIS_PER_SECOND * perSecond;
            permits = Math.min(burst, permits + accrued);
            accruedUntilMillis = Math.max(accruedUntilMillis, nowMillis);
        }

        /** Takes whole permits. */
        private int take(int wanted) {
            int granted = (int) Math.max(0, Math.min(wanted, Math.floor(permits)));
            permits -= granted;
            return granted;
        }

        /** Returns the time after which the next router should retry, in milliseconds. */
        private long retryAfterMillis(double perSecond, long nowMillis) {
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
     * @param perSecond its limit, in requests per second
     * @param share share of the active routers that use this issuer, 0 to 1; the others may have their own issuer
     * @param wanted number of permits that the requesting router can use soon
     * @param nowMillis the time
     * @return the permits and the retry time
     */
    public PermitGrant grant(UpstreamId upstream, double perSecond, double share, int wanted, long nowMillis) {
        return grant(upstream, new RateLimit(perSecond, nowMillis), share, wanted, nowMillis);
    }

    /**
     * Grants permits.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param share share of the active routers that use this issuer, 0 to 1; the others may have their own issuer
     * @param wanted number of permits that the requesting router can use soon
     * @param nowMillis the time
     * @return the permits and the retry time
     */
    public PermitGrant grant(UpstreamId upstream, RateLimit limit, double share, int wanted, long nowMillis) {
        double rate = rate(limit.perSecond(), share);
        PermitBalance balance = balance(upstream, limit, share, nowMillis);
        int granted = balance.take(wanted);
        return new PermitGrant(granted, balance.retryAfterMillis(rate, nowMillis));
    }

    /**
     * Charges requests that were sent without a permit.
     *
     * @param upstream the limited upstream
     * @param perSecond its limit, in requests per second
     * @param share share of the active routers that use this issuer, 0 to 1
     * @param requests number of requests
     * @param nowMillis the time
     */
    public void charge(UpstreamId upstream, double perSecond, double share, int requests, long nowMillis) {
        charge(upstream, new RateLimit(perSecond, nowMillis), share, requests, nowMillis);
    }

    /**
     * Charges requests that were sent without a permit.
     *
     * @param upstream the limited upstream
     * @param limit its limit
     * @param share share of the active routers that use this issuer, 0 to 1
     * @param requests number of requests
     * @param nowMillis the time
     */
    public void charge(UpstreamId upstream, RateLimit limit, double share, int requests, long nowMillis) {
        double rate = rate(limit.perSecond(), share);
        PermitBalance balance = balance(upstream, limit, share, nowMillis);
        balance.permits = Math.max(-Math.max(1, MAX_DEBT_SECONDS * rate), balance.permits - requests);
    }

    /** Returns the rate at which this issuer grants permits. */
    private static double rate(double perSecond, double share) {
        return Math.max(MIN_PER_SECOND, perSecond) * share;
    }

    /** Returns the updated balance of an upstream. */
    private PermitBalance balance(UpstreamId upstream, RateLimit limit, double share, long nowMillis) {
        double rate = rate(limit.perSecond(), share);
        PermitBalance balance = balances.computeIfAbsent(
                upstream, id -> new PermitBalance(rate, initialDebtSeconds(limit, nowMillis), nowMillis));
        balance.accrue(rate, limit.terms().burst(rate, share), nowMillis);
        return balance;
    }

    /**
     * Returns the initial debt. All routers know at the same time that an upstream is cold, so nothing can have been
     * sent that counts before the time that the limit states.
     */
    private double initialDebtSeconds(RateLimit limit, long nowMillis) {
        if (limit.terms() == PermitTerms.AVERAGE || nowMillis - startedMillis < START_MILLIS) {
            return INITIAL_DEBT_SECONDS;
        }
        double knownSeconds = Math.max(0, nowMillis - limit.advertisedMillis()) / MILLIS_PER_SECOND;
        return Math.min(INITIAL_DEBT_SECONDS, knownSeconds);
    }

    /**
     * Removes upstreams that are no longer limited.
     *
     * @param limits the limits in force
     */
    public void retain(RateLimits limits) {
        if (!balances.isEmpty()) {
            balances.keySet().removeIf(upstream -> limits.find(upstream) == null);
        }
    }

    /**
     * Returns the number of upstreams for which this router has granted permits.
     *
     * @return number of upstreams
     */
    public int size() {
        return balances.size();
    }
}
