package org.apricotstack.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.RosterHost;

/**
 * Determines which router owns a group: the first by rendezvous hashing among the usable routers of the group's data
 * centre, or among all usable routers if that data centre has none.
 *
 * <p>Ownership makes accounting exact and limits the number of connections; no safety property depends on it. While two
 * routers have different membership views, a group may temporarily have two owners. Each then counts only the work that
 * it started itself: engines may be sent more than their capacity, and queue or refuse it, but no answers are mixed up,
 * no stream is released by the other owner before its time limit, and work that must run at most once is bound to its
 * ticket and not to the owner.
 */
public final class GroupOwnership {

    private volatile Orders newest = new Orders(-1);

    /**
     * The orders of the routers that were computed for one membership view.
     *
     * <p>Each view has its own map. With one map that was cleared at each new view, a delayed thread with an old view
     * inserted its order after the clearing, and a dead router owned a group until the next change: no router managed
     * the group's engines (9% of views with six threads, see GroupOwnershipTest).
     *
     * @param revision the revision of the view
     * @param byGroup routers of each group, the owner first
     */
    private record Orders(long revision, Map<GroupId, List<HostId>> byGroup) {

        /** Creates an empty cache. */
        private Orders(long revision) {
            this(revision, new ConcurrentHashMap<>());
        }
    }

    /**
     * Returns the owner of a group.
     *
     * @param group the group
     * @param view the membership view
     * @param avoided routers that have just failed this request
     * @return the owner, or {@code null} if no router is left
     */
    public HostId owner(Group group, MemberView view, Set<HostId> avoided) {
        for (HostId host : order(group, view)) {
            if (!avoided.contains(host)) {
                return host;
            }
        }
        return remoteOwner(group, view, avoided);
    }

    /**
     * Finds a router outside of the group's data centre, for the case that all routers there are dead or avoided: a
     * remote owner is better than none. The result is not cached, because this is rare.
     */
    private static HostId remoteOwner(Group group, MemberView view, Set<HostId> avoided) {
        List<HostId> hosts = view.usable().stream()
                .map(RosterHost::id)
                .filter(host -> !avoided.contains(host))
                .toList();
        return Rendezvous.first(group.id().value(), hosts);
    }

    /** Returns the order of the routers for a group, cached as long as the view is the same. */
    private List<HostId> order(Group group, MemberView view) {
        Orders orders = newest;
        if (orders.revision() != view.revision()) {
            orders = new Orders(view.revision());
            newest = orders;
        }
        return orders.byGroup().computeIfAbsent(group.id(), id -> computeOrder(group, view));
    }

    /** Computes the order: suspects come after routers that answer. */
    private static List<HostId> computeOrder(Group group, MemberView view) {
        List<RosterHost> candidates = view.usable(group.dataCentre());
        if (candidates.isEmpty()) {
            candidates = view.usable();
        }
        List<HostId> hosts = candidates.stream().map(RosterHost::id).toList();
        List<HostId> order = Rendezvous.order(group.id().value(), hosts);
        List<HostId> healthy =
                order.stream().filter(host -> !view.suspects().contains(host)).toList();
        List<HostId> suspect =
                order.stream().filter(host -> view.suspects().contains(host)).toList();
        return Stream.concat(healthy.stream(), suspect.stream()).toList();
    }
}
