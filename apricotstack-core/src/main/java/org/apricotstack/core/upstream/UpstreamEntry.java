package org.apricotstack.core.upstream;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * One start of an upstream, as it is published.
 *
 * @param id names this start; a restart has another id, if only by its incarnation
 * @param service the service that it runs
 * @param address where it takes requests
 * @param dataCentre where it stands
 * @param slots requests that it runs at once
 * @param draining whether it is leaving and takes no new requests
 * @param revision the platform's revision of the entry, see {@link Revisions}; grows with each change
 */
public record UpstreamEntry(
        UpstreamId id,
        ServiceId service,
        Address address,
        DataCentreId dataCentre,
        int slots,
        boolean draining,
        long revision) {}
