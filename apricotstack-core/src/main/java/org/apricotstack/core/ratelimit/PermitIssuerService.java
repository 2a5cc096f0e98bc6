package org.apricotstack.core.ratelimit;

import java.util.function.Function;
import java.util.function.LongSupplier;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;

/** Answers permit requests of all routers, for the upstreams whose permit issuer is this router. */
public final class PermitIssuerService {

    /**
     * Retry time of a router that requested permits from a router that is not the issuer, in milliseconds; by then both
     * have received further heartbeats.
     */
    private static final long NOT_ISSUER_RETRY_MILLIS = 200;

    private final HostId own;
    private final RateLimits limits;
    private final Function<UpstreamId, PermitIssuerSelection> selector;
    private final LongSupplier clockMillis;
    private final PermitIssuer permitIssuer;

    /**
     * Creates a service without balances.
     *
     * @param own this router
     * @param limits the limits in force
     * @param selector selects the permit issuer of an upstream, as seen by this router
     * @param clockMillis the time, in milliseconds
     */
    public PermitIssuerService(
            HostId own,
            RateLimits limits,
            Function<UpstreamId, PermitIssuerSelection> selector,
            LongSupplier clockMillis) {
        this.own = own;
        this.limits = limits;
        this.selector = selector;
        this.clockMillis = clockMillis;
        this.permitIssuer = new PermitIssuer(clockMillis.getAsLong());
    }

    /**
     * Returns the permit issuer of an upstream.
     *
     * @param upstream the upstream
     * @return the issuer as seen by this router
     */
    public PermitIssuerSelection permitIssuerOf(UpstreamId upstream) {
        return selector.apply(upstream);
    }

    /**
     * Tells whether this router is the permit issuer.
     *
     * @param issuer the issuer as seen by this router
     * @return whether it is this router
     */
    public boolean isThisRouter(PermitIssuerSelection issuer) {
        return own.equals(issuer.host());
    }

    /**
     * Answers a permit request of a router, possibly this one.
     *
     * @param upstream the limited upstream
     * @param wanted number of permits that the router can use soon
     * @param charged number of requests that were sent without a permit
     * @return the permits and the retry time
     */
    public PermitGrant answer(UpstreamId upstream, int wanted, int charged) {
        PermitIssuerSelection issuer = selector.apply(upstream);
        RateLimit limit = limits.find(upstream);
        if (limit == null) {
            return new PermitGrant(0, 0);
        }
        if (!isThisRouter(issuer)) {
            return new PermitGrant(0, NOT_ISSUER_RETRY_MILLIS);
        }
        long now = clockMillis.getAsLong();
        if (charged > 0) {
            permitIssuer.charge(upstream, limit, issuer.share(), charged, now);
        }
        return wanted == 0 ? new PermitGrant(0, 0) : permitIssuer.grant(upstream, limit, issuer.share(), wanted, now);
    }

    /** Removes upstreams that are no longer limited. */
    public void expire() {
        permitIssuer.retain(limits);
    }

    /**
     * Returns the number of limits for which this router has granted permits.
     *
     * @return number of upstreams
     */
    public int issuedLimits() {
        return permitIssuer.size();
    }
}
