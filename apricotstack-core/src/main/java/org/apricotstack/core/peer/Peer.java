package org.apricotstack.core.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;

/**
 * State of another router as of its last heartbeat.
 *
 * @param process the router process
 * @param dataCentre the data centre it runs in
 * @param callerAddress address for callers
 * @param peerAddress address for other routers
 * @param ready whether it can serve callers
 * @param configurationVersion published version of the configuration in force there; 0 if it has none
 * @param upstreamsRevision the platform's revision up to which it knows the upstreams; 0 if it knows none
 * @param capacityPercent its processor capacity, in percent of one core
 * @param requestsPerSecond recent rate at which it places requests on engines
 * @param takesCallers whether it is an active router, which takes callers and so must receive all placements
 * @param nextHeartbeatMillis time until its next heartbeat, in milliseconds
 * @param stopLeftMillis time until a stopping router ends in any case, in milliseconds; 0 if it is not stopping
 */
public record Peer(
        ProcessId process,
        DataCentreId dataCentre,
        Address callerAddress,
        Address peerAddress,
        boolean ready,
        long configurationVersion,
        long upstreamsRevision,
        int capacityPercent,
        double requestsPerSecond,
        boolean takesCallers,
        long nextHeartbeatMillis,
        long stopLeftMillis) {

    /** Creates the state of a router that is not stopping. */
    public Peer(
            ProcessId process,
            DataCentreId dataCentre,
            Address callerAddress,
            Address peerAddress,
            boolean ready,
            long configurationVersion,
            long upstreamsRevision,
            int capacityPercent,
            double requestsPerSecond,
            boolean takesCallers,
            long nextHeartbeatMillis) {
        this(
                process,
                dataCentre,
                callerAddress,
                peerAddress,
                ready,
                configurationVersion,
                upstreamsRevision,
                capacityPercent,
                requestsPerSecond,
                takesCallers,
                nextHeartbeatMillis,
                0);
    }
}
