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
    private final PermitClient port;
    private final LongSupplier clockMillis;
    private final PermitPool pool = new PermitPool();
    private final Map<UpstreamId, List<Consumer<Boolean>>> waiting = new HashMap<>();

    /**
     * Creates an admission.
     *
     * @param table the limits that hold
     * @param port asks for permits
     * @param clockMillis the time, in milliseconds
     */
    public LimitAdmission(LimitTable table, PermitClient port, LongSupplier clockMillis) {
        this.table = table;
        this.port = port;
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
        return limit == null ? 0 : pool.opensMillis(upstream, limit, clockMillis.getAsLong());
    }

    /**
     * Lets one request pass, or not.
     *
     * @param upstream the upstream
     * @param then takes whether it may be sent; called at once unless the limit's keeper is asked
     */
    public void acquire(UpstreamId upstream, Consumer<Boolean> then) {
        RateLimit limit = table.isEmpty() ? null : table.find(upstream);
        if (limit == null) {
            then.accept(true);
            return;
        }
        long now = clockMillis.getAsLong();
        pool.want(upstream, now);
        if (pool.take(upstream, now)) {
            then.accept(true);
        } else if (pool.opensMillis(upstream, limit, now) > 0) {
            then.accept(false);
        } else {
            ask(upstream, limit, then, now);
        }
    }

    /** Asks for permits, or waits for the answer to a question that is under way. */
    private void ask(UpstreamId upstream, RateLimit limit, Consumer<Boolean> then, long askedMillis) {
        List<Consumer<Boolean>> others = waiting.get(upstream);
        if (others != null) {
            others.add(then);
            return;
        }
        waiting.put(upstream, new ArrayList<>(List.of(then)));
        port.ask(upstream, limit, pool.wanted(upstream), grant -> answered(upstream, limit, grant, askedMillis));
    }

    /** Takes an answer in and lets requests pass, as many as have permits now. */
    private void answered(UpstreamId upstream, RateLimit asked, PermitGrant grant, long askedMillis) {
        long now = clockMillis.getAsLong();
        RateLimit known = table.find(upstream);
        RateLimit limit = known == null ? asked : known;
        if (grant == null) {
            pool.unanswered(upstream, limit, now);
        } else {
            pool.granted(upstream, limit, grant, askedMillis, now);
        }
        for (Consumer<Boolean> then : waiting.remove(upstream)) {
            then.accept(!isLimited(upstream) || pool.take(upstream, now));
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
            port.charge(upstream, limit, 1);
        }
    }

    /** Forgets upstreams that are not limited any more. */
    public void expire() {
        pool.retain(table);
    }
}
