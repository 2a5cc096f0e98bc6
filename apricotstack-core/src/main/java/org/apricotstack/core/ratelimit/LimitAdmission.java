package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apricotstack.core.id.UpstreamId;

/** Admits requests to rate-limited upstreams only with a permit, and requests to all others at once. */
public final class LimitAdmission {

    private final RateLimits table;
    private final PermitClient client;
    private final LongSupplier clockMillis;
    private final PermitPool permits = new PermitPool();
    private final Map<UpstreamId, List<Consumer<Boolean>>> waiting = new HashMap<>();

    /**
     * Creates an admission control.
     *
     * @param table the limits in force
     * @param client requests permits from the permit issuer
     * @param clockMillis the time, in milliseconds
     */
    public LimitAdmission(RateLimits table, PermitClient client, LongSupplier clockMillis) {
        this.table = table;
        this.client = client;
        this.clockMillis = clockMillis;
    }

    /**
     * Tells whether a limit of an upstream is in force.
     *
     * @param upstream the upstream
     * @return whether requests to it need a permit
     */
    public boolean isLimited(UpstreamId upstream) {
        return !table.isEmpty() && table.find(upstream) != null;
    }

    /**
     * Returns the time until a request to an upstream may be admitted.
     *
     * @param upstream the upstream
     * @return milliseconds; 0 if a request may be admitted, or a permit requested, now
     */
    public long blockedMillis(UpstreamId upstream) {
        RateLimit limit = table.isEmpty() ? null : table.find(upstream);
        return limit == null ? 0 : permits.blockedMillis(upstream, limit, clockMillis.getAsLong());
    }

    /**
     * Admits or rejects one request.
     *
     * @param upstream the upstream
     * @param callback receives whether the request may be sent; called at once unless permits have to be requested from
     *     the issuer
     */
    public void acquire(UpstreamId upstream, Consumer<Boolean> callback) {
        RateLimit limit = table.isEmpty() ? null : table.find(upstream);
        if (limit == null) {
            callback.accept(true);
            return;
        }
        long now = clockMillis.getAsLong();
        permits.recordDemand(upstream, now);
        if (permits.take(upstream, now)) {
            callback.accept(true);
        } else if (permits.blockedMillis(upstream, limit, now) > 0) {
            callback.accept(false);
        } else {
            requestPermits(upstream, limit, callback, now);
        }
    }

    /** Requests permits, or waits for the reply to a pending request. */
    private void requestPermits(
            UpstreamId upstream, RateLimit limit, Consumer<Boolean> callback, long requestedMillis) {
        List<Consumer<Boolean>> waitingForSameUpstream = waiting.get(upstream);
        if (waitingForSameUpstream != null) {
            waitingForSameUpstream.add(callback);
            return;
        }
        waiting.put(upstream, new ArrayList<>(List.of(callback)));
        client.requestPermits(
                upstream,
                limit,
                permits.permitsToRequest(upstream, limit),
                grant -> permitsReceived(upstream, limit, grant, requestedMillis));
    }

    /** Adds the granted permits and admits as many waiting requests as there are permits. */
    private void permitsReceived(UpstreamId upstream, RateLimit requested, PermitGrant grant, long requestedMillis) {
        long now = clockMillis.getAsLong();
        RateLimit known = table.find(upstream);
        RateLimit limit = known == null ? requested : known;
        if (grant == null) {
            permits.issuerUnavailable(upstream, limit, now);
        } else {
            permits.granted(upstream, limit, grant, requestedMillis, now);
        }
        for (Consumer<Boolean> callback : waiting.remove(upstream)) {
            callback.accept(!isLimited(upstream) || permits.take(upstream, now));
        }
    }

    /**
     * Charges a request that is sent without a permit because it cannot be withheld.
     *
     * @param upstream the upstream
     */
    public void charge(UpstreamId upstream) {
        RateLimit limit = table.isEmpty() ? null : table.find(upstream);
        if (limit != null) {
            client.charge(upstream, limit, 1);
        }
    }

    /** Removes upstreams that are no longer limited. */
    public void expire() {
        permits.retain(table);
    }
}
