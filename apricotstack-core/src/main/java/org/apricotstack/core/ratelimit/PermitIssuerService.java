package org.apricotstack.core.ratelimit;

import java.util.function.Function;
import java.util.function.LongSupplier;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;

/** The part of a router that keeps limits for all routers that ask it. */
public final class PermitIssuerService {

    /** Time after which a router that asked the wrong one asks again, in milliseconds; both hear of more till then. */
    private static final long NOT_ISSUER_RETRY_MILLIS = 200;

    private final HostId own;
    private final LimitTable table;
    private final Function<UpstreamId, PermitIssuerSelector> selector;
    private final LongSupplier clockMillis;
    private final PermitIssuer permitIssuer = new PermitIssuer();

    /**
     * Creates a part that has kept no limit.
     *
     * @param own this router
     * @param table the limits that hold
     * @param choice who keeps the limit of an upstream, as this router sees it
     * @param clockMillis the time, in milliseconds
     */
    public PermitIssuerService(
            HostId own,
            LimitTable table,
            Function<UpstreamId, PermitIssuerSelector> selector,
            LongSupplier clockMillis) {
        this.own = own;
        this.table = table;
        this.selector = selector;
        this.clockMillis = clockMillis;
    }

    /**
     * Returns who keeps the limit of an upstream.
     *
     * @param upstream the upstream
     * @return the keeper as this router sees it
     */
    public PermitIssuerSelector permitIssuerOf(UpstreamId upstream) {
        return selector.apply(upstream);
    }

    /**
     * Tells whether this router keeps a limit.
     *
     * @param kept the keeper as this router sees it
     * @return whether it is this one
     */
    public boolean isThisRouter(PermitIssuerSelector issuer) {
        return own.equals(issuer.host());
    }

    /**
     * Answers a router that asks for permits, this one too.
     *
     * @param upstream the limited upstream
     * @param wanted permits that can be used soon
     * @param charged requests that were sent without a permit
     * @return the permits
     */
    public PermitGrant answer(UpstreamId upstream, int wanted, int charged) {
        PermitIssuerSelector issuer = selector.apply(upstream);
        RateLimit limit = table.find(upstream);
        if (limit == null) {
            return new PermitGrant(0, 0);
        }
        if (!isThisRouter(issuer)) {
            return new PermitGrant(0, NOT_ISSUER_RETRY_MILLIS);
        }
        long now = clockMillis.getAsLong();
        if (charged > 0) {
            permitIssuer.charge(upstream, limit.perSecond(), issuer.share(), charged, now);
        }
        return wanted == 0
                ? new PermitGrant(0, 0)
                : permitIssuer.grant(upstream, limit.perSecond(), issuer.share(), wanted, now);
    }

    /** Forgets upstreams that are not limited any more. */
    public void expire() {
        permitIssuer.retain(table);
    }

    /**
     * Returns how many limits this router has kept.
     *
     * @return upstreams
     */
    public int issuedLimits() {
        return permitIssuer.size();
    }
}
