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
 * Tells which router owns a group: the first by rendezvous among the usable routers of the group's data centre, or
 * among all usable routers if that data centre has none.
 *
 * <p>Ownership makes accounting exact and keeps connections few; nothing that must be safe rests on it. While two
 * routers see different members, a group may have two owners for a while. Each then counts only the work that it
 * started itself: engines may be given more than they have room for, and queue or refuse it, but no answer is mixed
 * up, no stream is released by the other owner while its time limit runs, and work that must run at most once is
 * bound to its ticket and not to the owner.
 */
public final class GroupOwnership {

    private volatile Orders newest = new Orders(-1);

    /**
     * The orders of the routers that were worked out for one picture.
     *
     * <p>Each picture has a map of its own. With one map for all, which was emptied at each new picture, a thread that
     * was held up with an old picture put its order in after that, and a dead router owned a group until the next
     * change: nobody looked after the group's engines (9% of pictures with six threads, see GroupOwnershipTest).
     *
     * @param revision the picture's
     * @param byGroup routers of each group, the owner first
     */
    private record Orders(long revision, Map<GroupId, List<HostId>> byGroup) {

        /** Creates no orders. */
        private Orders(long revision) {
            this(revision, new ConcurrentHashMap<>());
        }
    }

    /**
     * Returns the owner of a group.
     *
     * @param group the group
     * @param view the picture of the routers
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
     * Finds a router outside of the group's data centre. This is rare, so nothing is remembered: with the routers
     * of its data centre gone or avoided, a group is better served from afar than not at all.
     */
    private static HostId remoteOwner(Group group, MemberView view, Set<HostId> avoided) {
        List<HostId> hosts = view.usable().stream()
                .map(RosterHost::id)
                .filter(host -> !avoided.contains(host))
                .toList();
        return Rendezvous.first(group.id().value(), hosts);
    }

    /** Returns the order of the routers for a group, remembered for as long as the picture is the same. */
    private List<HostId> order(Group group, MemberView view) {
        Orders orders = newest;
        if (orders.revision() != view.revision()) {
            orders = new Orders(view.revision());
            newest = orders;
        }
        return orders.byGroup().computeIfAbsent(group.id(), id -> computeOrder(group, view));
    }

    /** Computes the order: suspects stand behind those that answer. */
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
