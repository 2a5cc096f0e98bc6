package org.apricotstack.core.membership;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;

/**
 * A router host as the platform lists it.
 *
 * @param id the name
 * @param dataCentre where it runs
 * @param callerAddress where callers connect
 * @param peerAddress where other routers connect
 * @param leaving whether the platform lists it as leaving
 */
public record RosterHost(
        HostId id, DataCentreId dataCentre, Address callerAddress, Address peerAddress, boolean leaving) {}
