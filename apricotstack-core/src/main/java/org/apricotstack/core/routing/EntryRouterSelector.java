package org.apricotstack.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.RosterHost;

/**
 * Selects the routers that a caller is told to connect to. Routers of this data centre come first, and each caller gets
 * its own stable order, so that callers are spread over the routers and return to the same ones.
 */
public final class EntryRouterSelector {

    private final DataCentreId ownDataCentre;
    private final Predicate<HostId> serves;
    private final int maxRouters;

    /**
     * Creates a selector.
     *
     * @param ownDataCentre the data centre of this router
     * @param serves tells whether a router is known to serve
     * @param maxRouters maximum number of routers in an answer
     */
    public EntryRouterSelector(DataCentreId ownDataCentre, Predicate<HostId> serves, int maxRouters) {
        this.ownDataCentre = ownDataCentre;
        this.serves = serves;
        this.maxRouters = maxRouters;
    }

    /**
     * Selects routers for a caller.
     *
     * <p>While no router is known to serve, as when all have just started, all usable routers are selected: a caller
     * that gets no addresses has no router to ask again.
     *
     * @param view the membership view
     * @param callerIp the caller's IP address
     * @return the routers, best first
     */
    public List<HostId> select(MemberView view, String callerIp) {
        Set<HostId> ordered = new LinkedHashSet<>(order(view.usable(ownDataCentre), callerIp, view));
        ordered.addAll(order(view.usable(), callerIp, view));
        List<HostId> serving = ordered.stream().filter(serves).limit(maxRouters).toList();
        return serving.isEmpty() ? new ArrayList<>(ordered).subList(0, Math.min(maxRouters, ordered.size())) : serving;
    }

    /** Orders hosts for a caller; suspects are left out, because enough others remain. */
    private static List<HostId> order(List<RosterHost> hosts, String callerIp, MemberView view) {
        List<HostId> healthy = hosts.stream()
                .map(RosterHost::id)
                .filter(host -> !view.suspects().contains(host))
                .toList();
        return Rendezvous.order("caller/" + callerIp, healthy);
    }
}
