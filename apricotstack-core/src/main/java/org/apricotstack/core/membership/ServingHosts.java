package org.apricotstack.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;

/**
 * Remembers which processes said themselves that they serve.
 *
 * <p>A process that has just started answers probes before it has a configuration. Were it named to callers on the
 * strength of its answers alone, their requests would come back as not run. What counts is therefore its own word, and
 * only that of its present incarnation: a restart takes the word back.
 */
public final class ServingHosts {

    private final Map<HostId, Long> servingIncarnations = new HashMap<>();

    /**
     * Takes the word of a process.
     *
     * @param sender the process
     * @param serves whether it says that it serves
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
     * Tells whether the present process of a host said that it serves.
     *
     * @param host the host
     * @param incarnation the latest known process of the host, 0 if none was heard of
     * @return whether that process, or a later one, said so
     */
    public synchronized boolean serves(HostId host, long incarnation) {
        Long known = servingIncarnations.get(host);
        return known != null && known >= incarnation;
    }

    /**
     * Forgets hosts that left the roster, so that the memory stays bounded.
     *
     * @param roster hosts that exist
     */
    public synchronized void retain(Collection<HostId> roster) {
        servingIncarnations.keySet().retainAll(roster);
    }

    /**
     * Picks routers that have not yet said that they serve, from another place of the roster each time, so that hosts
     * which never answer do not keep the others from being asked.
     *
     * @param view the picture of the routers
     * @param table tells the latest known process of each host
     * @param turn counts the calls
     * @param max how many at most
     * @return the routers to ask
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
