package org.apricotstack.core.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;

/**
 * What another router told of itself in its last heartbeat.
 *
 * @param process the router process
 * @param dataCentre where it stands
 * @param callerAddress where it takes callers
 * @param peerAddress where it takes other routers
 * @param ready whether it can serve callers
 * @param configurationVersion the operators' version of the configuration that it uses; 0 if it has none
 * @param upstreamsRevision the platform's revision up to which it knows the upstreams; 0 if it knows none
 * @param capacityPercent its processor, in percent of a core
 * @param requestsPerSecond requests that it places on engines lately, a second
 * @param takesCallers whether it decides on requests, and so has to hear of all placements
 * @param nextHeartbeatMillis time until its next heartbeat, in milliseconds
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
        long nextHeartbeatMillis) {}
