package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;

/**
 * Who a router is to others.
 *
 * @param process the router process
 * @param dataCentre where it stands
 * @param callerAddress where it takes callers
 * @param peerAddress where it takes other routers
 * @param capacityPercent its processor, in percent of a core
 */
public record RouterIdentity(
        ProcessId process, DataCentreId dataCentre, Address callerAddress, Address peerAddress, int capacityPercent) {}
