package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apricotstack.core.id.UpstreamId;

/** Lets requests to limited upstreams pass only with a permit; requests to all others pass at once. */
public final class LimitAdmission {

    private final LimitTable table;
    private final PermitClient client;
    private final LongSupplier clockMillis;
    private final PermitPool permits = new PermitPool();
    private final Map<UpstreamId, List<Consumer<Boolean>>> waiting = new HashMap<>();

    /**
     * Creates an admission.
     *
     * @param table the limits that hold
     * @param port asks for permits
     * @param clockMillis the time, in milliseconds
     */
    public LimitAdmission(LimitTable table, PermitClient client, LongSupplier clockMillis) {
        this.table = table;
        this.client = client;
        this.clockMillis = clockMillis;
    }

    /**
     * Tells whether an upstream named a limit that holds.
     *
     * @param upstream the upstream
     * @return whether requests to it need a permit
     */
    public boolean isLimited(UpstreamId upstream) {
        return !table.isEmpty() && table.find(upstream) != null;
    }

    /**
     * Returns the time until a request to an upstream may pass.
     *
     * @param upstream the upstream
     * @return milliseconds; 0 if one may pass now, or may be asked for
     */
    public long opensMillis(UpstreamId upstream) {
        RateLimit limit = table.isEmpty() ? null : table.find(upstream);
        return limit == null ? 0 : permits.opensMillis(upstream, limit, clockMillis.getAsLong());
    }

    /**
     * Lets one request pass, or not.
     *
     * @param upstream the upstream
     * @param then takes whether it may be sent; called at once unless the limit's keeper is asked
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
        } else if (permits.opensMillis(upstream, limit, now) > 0) {
            callback.accept(false);
        } else {
            requestPermits(upstream, limit, callback, now);
        }
    }

    /** Asks for permits, or waits for the answer to a question that is under way. */
    private void requestPermits(
            UpstreamId upstream, RateLimit limit, Consumer<Boolean> callback, long requestedMillis) {
        List<Consumer<Boolean>> waitingForSameUpstream = waiting.get(upstream);
        if (waitingForSameUpstream != null) {
            waitingForSameUpstream.add(callback);
            return;
        }
        waiting.put(upstream, new ArrayList<>(List.of(callback)));
        client.ask(
                upstream,
                limit,
                permits.permitsToRequest(upstream),
                grant -> permitsReceived(upstream, limit, grant, requestedMillis));
    }

    /** Takes an answer in and lets requests pass, as many as have permits now. */
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
     * Counts a request that is sent without a permit, as it cannot be left out.
     *
     * @param upstream the upstream
     */
    public void charge(UpstreamId upstream) {
        RateLimit limit = table.isEmpty() ? null : table.find(upstream);
        if (limit != null) {
            client.charge(upstream, limit, 1);
        }
    }

    /** Forgets upstreams that are not limited any more. */
    public void expire() {
        permits.retain(table);
    }
}
