package org.apricotstack.core.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.routing.Rendezvous;

/**
 * The places of routers in the order in which equally strong ones of a data centre take callers.
 *
 * <p>A place is a hash of names and never changes, so it is worked out once. Worked out for all routers of 83 hosts at
 * each heartbeat, and looked up in a list at each comparison, a choice took 60 ms in a process whose code is not
 * compiled yet (6 to 8 ms at the second call otherwise), at each heartbeat and each question of a caller.
 */
public final class EntryWeights {

    private final Map<HostId, Long> byHost = new HashMap<>();

    /**
     * Returns the weight of a router; the greatest comes first.
     *
     * @param peer the router
     * @return its weight
     */
    long of(Peer peer) {
        return byHost.computeIfAbsent(
                peer.process().host(),
                host -> Rendezvous.weight(peer.dataCentre().value(), host));
    }

    /** Forgets hosts that are no longer known. */
    void retain(Predicate<HostId> known) {
        byHost.keySet().removeIf(host -> !known.test(host));
    }
}
