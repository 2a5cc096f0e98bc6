package org.apricotstack.core.peer;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.HostId;

/** The routers that this one hears but that do not hear it, as their own heartbeats report. */
public final class OneWayPeers {

    private final Set<HostId> hosts = new HashSet<>();

    /** Creates an empty set. */
    public OneWayPeers() {}

    /**
     * Records what the last heartbeat of a router reports.
     *
     * @param host its host
     * @param reportsSilence whether it reports this router as silent
     */
    public void recordHeartbeat(HostId host, boolean reportsSilence) {
        if (reportsSilence) {
            hosts.add(host);
        } else {
            hosts.remove(host);
        }
    }

    /**
     * Counts the routers that do not hear this one.
     *
     * @param among the hosts to count among
     * @return number of routers
     */
    public int countAmong(Collection<HostId> among) {
        return hosts.isEmpty()
                ? 0
                : (int) among.stream().filter(hosts::contains).count();
    }
}
