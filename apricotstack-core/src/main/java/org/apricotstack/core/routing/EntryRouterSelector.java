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
 * Chooses the routers that callers are told to connect to: those of the own data centre first, each caller its own
 * order, so that callers spread over the routers and find the same ones again.
 */
public final class EntryRouterSelector {

    private final DataCentreId ownDataCentre;
    private final Predicate<HostId> serves;
    private final int maxRouters;

    /**
     * Creates the choice.
     *
     * @param ownDataCentre the data centre of the router that answers
     * @param serves tells whether a router is known to serve
     * @param maxRouters routers named at most
     */
    public EntryRouterSelector(DataCentreId ownDataCentre, Predicate<HostId> serves, int maxRouters) {
        this.ownDataCentre = ownDataCentre;
        this.serves = serves;
        this.maxRouters = maxRouters;
    }

    /**
     * Names routers for a caller.
     *
     * <p>While no router is known to serve, as when all have just started, all usable ones are named: a caller that is
     * told nothing cannot even ask again.
     *
     * @param view the picture of the routers
     * @param callerIp the caller's address
     * @return the routers, best first
     */
    public List<HostId> select(MemberView view, String callerIp) {
        Set<HostId> ordered = new LinkedHashSet<>(order(view.usable(ownDataCentre), callerIp, view));
        ordered.addAll(order(view.usable(), callerIp, view));
        List<HostId> serving = ordered.stream().filter(serves).limit(maxRouters).toList();
        return serving.isEmpty() ? new ArrayList<>(ordered).subList(0, Math.min(maxRouters, ordered.size())) : serving;
    }

    /** Orders hosts for a caller; suspects are left out, as the others are many. */
    private static List<HostId> order(List<RosterHost> hosts, String callerIp, MemberView view) {
        List<HostId> healthy = hosts.stream()
                .map(RosterHost::id)
                .filter(host -> !view.suspects().contains(host))
                .toList();
        return Rendezvous.order("caller/" + callerIp, healthy);
    }
}
