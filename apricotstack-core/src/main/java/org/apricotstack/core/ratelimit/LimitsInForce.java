package org.apricotstack.core.ratelimit;

import java.util.function.LongSupplier;

import org.apricotstack.core.id.UpstreamId;

/**
 * The rate limits in force from both sources: those that upstreams advertise, and the operator's bound on cold
 * upstreams. If an upstream has both, the lower one holds.
 */
public final class LimitsInForce implements RateLimits {

    private final LimitTable advertised;
    private final ColdTable cold;
    private final ColdRates coldRates;
    private final LongSupplier clockMillis;

    /**
     * Creates limits.
     *
     * @param advertised the limits that upstreams advertise
     * @param cold the cold upstreams
     * @param coldRates what the operators specify for cold upstreams
     * @param clockMillis the time, in milliseconds
     */
    public LimitsInForce(LimitTable advertised, ColdTable cold, ColdRates coldRates, LongSupplier clockMillis) {
        this.advertised = advertised;
        this.cold = cold;
        this.coldRates = coldRates;
        this.clockMillis = clockMillis;
    }

    /**
     * Creates limits without a bound on cold upstreams.
     *
     * @param advertised the limits that upstreams advertise
     * @return the limits
     */
    public static LimitsInForce advertisedOnly(LimitTable advertised) {
        return new LimitsInForce(advertised, new ColdTable(), ColdRates.NONE, () -> 0);
    }

    @Override
    public RateLimit find(UpstreamId upstream) {
        RateLimit limit = advertised.find(upstream);
        ColdState state = cold.isEmpty() ? null : cold.find(upstream, clockMillis.getAsLong());
        double perSecond = state == null ? 0 : coldRates.perSecond(upstream);
        if (perSecond <= 0) {
            return limit;
        }
        return limit == null || limit.perSecond() >= perSecond
                ? new RateLimit(perSecond, state.uncountedSinceMillis(), PermitTerms.EVERY_SECOND)
                : new RateLimit(
                        limit.perSecond(),
                        Math.min(limit.advertisedMillis(), state.uncountedSinceMillis()),
                        PermitTerms.EVERY_SECOND);
    }

    @Override
    public boolean isEmpty() {
        return advertised.isEmpty() && cold.isEmpty();
    }

    /**
     * Tells whether the bound on cold upstreams holds for an upstream.
     *
     * @param upstream the incarnation
     * @return whether it is cold and its service has a bound
     */
    public boolean isCold(UpstreamId upstream) {
        return remainingColdMillis(upstream) > 0;
    }

    /**
     * Returns how long the bound on cold upstreams holds for an upstream.
     *
     * @param upstream the incarnation
     * @return milliseconds; 0 if it does not hold
     */
    public long remainingColdMillis(UpstreamId upstream) {
        if (cold.isEmpty()) {
            return 0;
        }
        long now = clockMillis.getAsLong();
        ColdState state = cold.find(upstream, now);
        return state == null || coldRates.perSecond(upstream) <= 0 ? 0 : state.untilMillis() - now;
    }

    /**
     * Returns what the operators specify for cold upstreams.
     *
     * @return the rates
     */
    public ColdRates coldRates() {
        return coldRates;
    }

    /**
     * Returns the limits that upstreams advertise.
     *
     * @return the limits
     */
    public LimitTable advertised() {
        return advertised;
    }

    /**
     * Returns the cold upstreams.
     *
     * @return the cold upstreams
     */
    public ColdTable cold() {
        return cold;
    }
}
