package org.apricotstack.core.upstream;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * One incarnation of an upstream, as published on the platform.
 *
 * @param id identifies this incarnation
 * @param service the service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre the data centre in which it runs
 * @param slots number of requests that it runs concurrently
 * @param draining whether it is draining and accepts no new requests
 * @param revision the platform's revision of the entry, which increases with each change; see {@link Revisions}
 */
public record UpstreamEntry(
        UpstreamId id,
        ServiceId service,
        Address address,
        DataCentreId dataCentre,
        int slots,
        boolean draining,
        long revision) {}
