package org.apricotstack.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;

/**
 * Tracks which processes reported that they serve requests.
 *
 * <p>A process that has just started answers probes before it has a configuration. If callers were sent to it because
 * it answers, their requests would be refused as not run. Therefore only a process's own report counts, and only for
 * its current incarnation: a restart invalidates the report.
 */
public final class ServingHosts {

    private final Map<HostId, Long> servingIncarnations = new HashMap<>();

    /**
     * Records the status that a process reports.
     *
     * @param sender the process
     * @param serves whether it reports that it serves
     */
    public synchronized void recordStatus(ProcessId sender, boolean serves) {
        Long known = servingIncarnations.get(sender.host());
        if (known != null && known > sender.incarnation()) {
            return;
        }
        if (serves) {
            servingIncarnations.put(sender.host(), sender.incarnation());
        } else {
            servingIncarnations.remove(sender.host());
        }
    }

    /**
     * Tells whether the current process of a host reported that it serves.
     *
     * @param host the host
     * @param incarnation the latest known incarnation of the host, 0 if none is known
     * @return whether that incarnation or a later one reported it
     */
    public synchronized boolean serves(HostId host, long incarnation) {
        Long known = servingIncarnations.get(host);
        return known != null && known >= incarnation;
    }

    /**
     * Removes hosts that left the roster, so that the table stays bounded.
     *
     * @param roster hosts that exist
     */
    public synchronized void retain(Collection<HostId> roster) {
        servingIncarnations.keySet().retainAll(roster);
    }

    /**
     * Selects routers that have not yet reported that they serve. Each call starts at another position of the roster,
     * so that hosts that never answer do not prevent the others from being probed.
     *
     * @param view the membership view
     * @param table provides the latest known incarnation of each host
     * @param turn number of the call
     * @param max maximum number of routers
     * @return the routers to probe
     */
    public List<RosterHost> unconfirmed(MemberView view, MembershipTable table, long turn, int max) {
        List<RosterHost> unconfirmed = new ArrayList<>();
        for (RosterHost host : view.usable()) {
            if (!serves(host.id(), table.incarnation(host.id()))) {
                unconfirmed.add(host);
            }
        }
        List<RosterHost> picked = new ArrayList<>();
        for (int i = 0; i < Math.min(max, unconfirmed.size()); i++) {
            picked.add(unconfirmed.get((int) Math.floorMod(turn * max + i, (long) unconfirmed.size())));
        }
        return picked;
    }
}
