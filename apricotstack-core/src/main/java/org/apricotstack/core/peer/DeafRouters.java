package org.apricotstack.core.peer;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.HostId;

/** The routers that this one hears but that do not hear it, as their own heartbeats report. */
public final class DeafRouters {

    private final Set<HostId> deaf = new HashSet<>();

    /** Creates an empty set. */
    public DeafRouters() {}

    /**
     * Records what the last heartbeat of a router reports.
     *
     * @param host its host
     * @param isDeaf whether it reports this router as silent
     */
    public void recordHeartbeat(HostId host, boolean isDeaf) {
        if (isDeaf) {
            deaf.add(host);
        } else {
            deaf.remove(host);
        }
    }

    /**
     * Counts the routers that do not hear this one.
     *
     * @param hosts the hosts to count among
     * @return number of routers
     */
    public int countAmong(Collection<HostId> hosts) {
        return deaf.isEmpty() ? 0 : (int) hosts.stream().filter(deaf::contains).count();
    }
}
