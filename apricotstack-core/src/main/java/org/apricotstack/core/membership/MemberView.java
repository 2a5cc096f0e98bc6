package org.apricotstack.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;

/**
 * An immutable membership view: the roster with the believed state of each router.
 *
 * @param revision number that grows with each change
 * @param roster the published list
 * @param avoided hosts that are dead, leaving or replaced
 * @param suspects hosts that are suspected
 */
public record MemberView(long revision, Roster roster, Set<HostId> avoided, Set<HostId> suspects) {

    /**
     * Builds a view.
     *
     * @param revision its revision
     * @param roster the published list
     * @param table the believed states
     * @return the view
     */
    public static MemberView of(long revision, Roster roster, MembershipTable table) {
        Set<HostId> avoided = new HashSet<>();
        Set<HostId> suspects = new HashSet<>();
        for (RosterHost host : roster.routers().values()) {
            MemberState state = table.state(host.id());
            if (host.leaving() || state == MemberState.LEAVING || state == MemberState.DEAD) {
                avoided.add(host.id());
            } else if (state == MemberState.SUSPECT) {
                suspects.add(host.id());
            }
        }
        return new MemberView(revision, roster, Set.copyOf(avoided), Set.copyOf(suspects));
    }

    /**
     * Tells whether a router may be sent new work.
     *
     * @param host the router
     * @return whether it is listed and not avoided
     */
    public boolean isUsable(HostId host) {
        return roster.routers().containsKey(host) && !avoided.contains(host);
    }

    /**
     * Lists the routers that may be sent new work.
     *
     * @return the routers, ordered by host name
     */
    public List<RosterHost> usable() {
        List<RosterHost> result = new ArrayList<>(roster.routers().size());
        for (RosterHost host : roster.routers().values()) {
            if (!avoided.contains(host.id())) {
                result.add(host);
            }
        }
        return result;
    }

    /**
     * Lists the usable routers of one data centre.
     *
     * @param dataCentre the data centre
     * @return the routers, ordered by host name
     */
    public List<RosterHost> usable(DataCentreId dataCentre) {
        return usable().stream()
                .filter(host -> host.dataCentre().equals(dataCentre))
                .toList();
    }
}
