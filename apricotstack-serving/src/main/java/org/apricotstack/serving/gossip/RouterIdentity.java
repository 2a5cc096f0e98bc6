package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;

/**
 * Identity and addresses of a router.
 *
 * @param process the router process
 * @param dataCentre its data centre
 * @param callerAddress address for callers
 * @param peerAddress address for other routers
 * @param capacityPercent its processor capacity, in percent of a core
 */
public record RouterIdentity(
        ProcessId process, DataCentreId dataCentre, Address callerAddress, Address peerAddress, int capacityPercent) {}
