package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * The upstreams that asked this router to send them nothing for a while.
 *
 * <p>Each answer asks for a time of its own, so of several the one that ends last counts. Other routers are asked by
 * themselves. Each start of an upstream asks by itself.
 */
public final class BackOffTable {

    private final Map<UpstreamId, BackOff> backOffs = new HashMap<>();

    /**
     * Takes in that an answer asks for a back-off.
     *
     * @param upstream the start that answered
     * @param millis for how long from now, in milliseconds
     * @param nowMillis the time
     * @return whether none held before
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
     * Returns the time until an upstream may be sent requests.
     *
     * @param upstream the start
     * @param nowMillis the time
     * @return milliseconds; 0 if it may be sent requests now
     */
    public long opensMillis(UpstreamId upstream, long nowMillis) {
        BackOff backOff = backOffs.isEmpty() ? null : backOffs.get(upstream);
        return backOff == null ? 0 : Math.max(0, backOff.untilMillis() - nowMillis);
    }

    /**
     * Takes off the back-offs that are over.
     *
     * @param nowMillis the time
     * @return the back-offs that are over
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
     * Tells whether no upstream asked for a back-off.
     *
     * @return whether none is known
     */
    public boolean isEmpty() {
        return backOffs.isEmpty();
    }

    /**
     * Returns how many upstreams asked for a back-off that is not known to be over.
     *
     * @return upstreams
     */
    public int size() {
        return backOffs.size();
    }
}
