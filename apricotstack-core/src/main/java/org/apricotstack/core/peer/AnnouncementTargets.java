package org.apricotstack.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.routing.Rendezvous;

/**
 * Chooses the routers that are told of a configuration as soon as it is in force here.
 *
 * <p>The first router of a data centre that has it tells all others there, and some in each other data centre. Each
 * other router tells a few of its data centre, so that a lost datagram, or the loss of the first router, delays
 * nothing until the next heartbeat.
 */
public final class AnnouncementTargets {

    /** Number of routers of its data centre that each router tells. */
    static final int FAN_OUT = 2;

    /** Number of routers of each other data centre that the first router of a data centre tells. */
    static final int REMOTE_FAN_OUT = 2;

    private final EntryWeights weights = new EntryWeights();

    /**
     * Chooses routers.
     *
     * @param own this router
     * @param others the other routers
     * @param first whether no other router of this data centre is known to have the configuration
     * @param version the version, so that each one takes other paths
     * @return the routers to tell
     */
    public List<Peer> choose(Peer own, Collection<Peer> others, boolean first, long version) {
        List<Peer> local = others.stream()
                .filter(peer -> peer.dataCentre().equals(own.dataCentre()))
                .toList();
        if (!first) {
            String key = own.process().host().value() + "/" + version;
            return local.stream()
                    .sorted(Comparator.comparingLong(
                            peer -> Rendezvous.weight(key, peer.process().host())))
                    .limit(FAN_OUT)
                    .toList();
        }
        List<Peer> chosen = new ArrayList<>(local);
        Map<DataCentreId, List<Peer>> remote = new LinkedHashMap<>();
        for (Peer peer : others) {
            if (!peer.dataCentre().equals(own.dataCentre())) {
                remote.computeIfAbsent(peer.dataCentre(), id -> new ArrayList<>())
                        .add(peer);
            }
        }
        for (List<Peer> peers : remote.values()) {
            peers.sort((one, other) -> EntryRouters.compare(one, other, weights));
            chosen.addAll(peers.subList(0, Math.min(REMOTE_FAN_OUT, peers.size())));
        }
        return chosen;
    }
}
