package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * The upstreams that requested a back-off from this router.
 *
 * <p>Each response requests its own period; of overlapping periods the one that ends last applies. A back-off applies
 * only to the router that received the response and to the incarnation of the upstream that sent it.
 */
public final class BackOffTable {

    private final Map<UpstreamId, BackOff> backOffs = new HashMap<>();

    /**
     * Records that a response requested a back-off.
     *
     * @param upstream the incarnation that responded
     * @param millis duration from now, in milliseconds
     * @param nowMillis the time
     * @return whether no back-off was in force before
     */
    public boolean backOffRequested(UpstreamId upstream, long millis, long nowMillis) {
        BackOff before = backOffs.get(upstream);
        boolean held = before != null && before.untilMillis() > nowMillis;
        long untilMillis = nowMillis + millis;
        backOffs.put(
                upstream,
                held
                        ? new BackOff(before.sinceMillis(), Math.max(before.untilMillis(), untilMillis))
                        : new BackOff(nowMillis, untilMillis));
        return !held;
    }

    /**
     * Returns the time until requests may be sent to an upstream.
     *
     * @param upstream the incarnation
     * @param nowMillis the time
     * @return milliseconds; 0 if requests may be sent now
     */
    public long blockedMillis(UpstreamId upstream, long nowMillis) {
        BackOff backOff = backOffs.isEmpty() ? null : backOffs.get(upstream);
        return backOff == null ? 0 : Math.max(0, backOff.untilMillis() - nowMillis);
    }

    /**
     * Removes expired back-offs.
     *
     * @param nowMillis the time
     * @return the removed back-offs
     */
    public Map<UpstreamId, BackOff> expire(long nowMillis) {
        if (backOffs.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, BackOff> over = new HashMap<>();
        for (UpstreamId upstream : List.copyOf(backOffs.keySet())) {
            if (backOffs.get(upstream).untilMillis() <= nowMillis) {
                over.put(upstream, backOffs.remove(upstream));
            }
        }
        return over;
    }

    /**
     * Tells whether the table is empty.
     *
     * @return whether no back-off is recorded
     */
    public boolean isEmpty() {
        return backOffs.isEmpty();
    }

    /**
     * Returns the number of upstreams with a back-off that has not been removed yet.
     *
     * @return number of upstreams
     */
    public int size() {
        return backOffs.size();
    }
}
