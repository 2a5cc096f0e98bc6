package org.apricotstack.core.membership;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;

/**
 * A router host as the platform lists it.
 *
 * @param id its id
 * @param dataCentre its data centre
 * @param callerAddress address for callers
 * @param peerAddress address for other routers
 * @param leaving whether the platform lists it as leaving
 */
public record RosterHost(
        HostId id, DataCentreId dataCentre, Address callerAddress, Address peerAddress, boolean leaving) {}
