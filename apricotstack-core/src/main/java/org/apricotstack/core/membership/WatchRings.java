package org.apricotstack.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.google.common.hash.Hashing;
import org.apricotstack.core.id.HostId;

/**
 * Determines which routers watch each other: the members of the roster form several rings, each in a different order,
 * and a router watches its successor on each ring.
 *
 * <p>The number of neighbours is constant, so the cost per router does not grow with the fleet. The union of a few
 * random rings is an expander graph: gossip reaches every router in a number of hops that is logarithmic in the size of
 * the fleet. The rings are computed from the published roster, so no messages are needed to agree on them.
 */
public final class WatchRings {

    /** Number of rings, and therefore of successors and of predecessors of each router. */
    public static final int RINGS = 4;

    private WatchRings() {}

    /**
     * Lists the routers that a router probes.
     *
     * @param roster all routers
     * @param self the router
     * @return its successors, without itself, each once
     */
    public static List<HostId> successors(Collection<HostId> roster, HostId self) {
        return neighbours(roster, self, false);
    }

    /**
     * Lists the routers to which updates are sent immediately.
     *
     * @param roster all routers
     * @param self the router
     * @return its successors and predecessors, without itself, each once
     */
    public static List<HostId> neighbours(Collection<HostId> roster, HostId self) {
        return neighbours(roster, self, true);
    }

    /** Collects the neighbours over all rings. */
    private static List<HostId> neighbours(Collection<HostId> roster, HostId self, boolean includePredecessors) {
        Set<HostId> result = new LinkedHashSet<>();
        for (int ring = 0; ring < RINGS; ring++) {
            List<HostId> order = ring(roster, ring);
            int index = order.indexOf(self);
            if (index < 0) {
                continue;
            }
            result.add(order.get((index + 1) % order.size()));
            if (includePredecessors) {
                result.add(order.get((index + order.size() - 1) % order.size()));
            }
        }
        result.remove(self);
        return new ArrayList<>(result);
    }

    /** Orders the roster for one ring; the position of each host is computed once. */
    private static List<HostId> ring(Collection<HostId> roster, int ring) {
        List<RingMember> members = new ArrayList<>(roster.size());
        roster.forEach(host -> members.add(new RingMember(position(host, ring), host)));
        members.sort(Comparator.comparingLong(RingMember::position).thenComparing(RingMember::host));
        return members.stream().map(RingMember::host).toList();
    }

    /** Returns the position of a host on a ring. */
    private static long position(HostId host, int ring) {
        return Hashing.murmur3_128(ring)
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asLong();
    }

    /**
     * A host on a ring.
     *
     * @param position its position
     * @param host the host
     */
    private record RingMember(long position, HostId host) {}
}
