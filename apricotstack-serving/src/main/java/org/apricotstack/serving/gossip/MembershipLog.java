package org.apricotstack.serving.gossip;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.serving.observe.DecisionLog;

/** Writes down which routers are heard again or no longer. */
final class MembershipLog {

    private final DecisionLog log;
    private final Set<HostId> believedAlive = new HashSet<>();

    /** Creates a log that has heard of nobody. */
    MembershipLog(DecisionLog log) {
        this.log = log;
    }

    /** Notes the routers that are heard now. */
    void note(Collection<Peer> heard) {
        Set<HostId> alive = new HashSet<>();
        heard.forEach(peer -> alive.add(peer.process().host()));
        for (HostId host : alive) {
            if (believedAlive.add(host)) {
                log.line("peer_heard").put("peer", host.value()).write();
            }
        }
        believedAlive.removeIf(host -> {
            boolean silent = !alive.contains(host);
            if (silent) {
                log.line("peer_silent").put("peer", host.value()).write();
            }
            return silent;
        });
    }
}
