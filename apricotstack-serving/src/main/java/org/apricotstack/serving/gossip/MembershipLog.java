package org.apricotstack.serving.gossip;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.serving.observe.DecisionLog;

/** Logs which routers become alive or silent. */
final class MembershipLog {

    private final DecisionLog log;
    private final Set<HostId> aliveHosts = new HashSet<>();

    /** Creates a log that knows no live router. */
    MembershipLog(DecisionLog log) {
        this.log = log;
    }

    /** Logs the changes against the routers that are alive now. */
    void update(Collection<Peer> peers) {
        Set<HostId> alive = new HashSet<>();
        peers.forEach(peer -> alive.add(peer.process().host()));
        for (HostId host : alive) {
            if (aliveHosts.add(host)) {
                log.line("peer_heard").put("peer", host.value()).write();
            }
        }
        aliveHosts.removeIf(host -> {
            boolean silent = !alive.contains(host);
            if (silent) {
                log.line("peer_silent").put("peer", host.value()).write();
            }
            return silent;
        });
    }
}
