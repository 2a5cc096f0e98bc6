package org.apricotstack.core.upstream;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.AdvertisedCold;

/**
 * One incarnation of an upstream, as published on the platform.
 *
 * @param id identifies this incarnation
 * @param service the service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre the data centre in which it runs
 * @param slots number of requests that it runs concurrently
 * @param draining whether it is draining and accepts no new requests
 * @param cold what the entry states about how long it stays cold
 * @param revision the platform's revision of the entry, which increases with each change; see {@link Revisions}
 */
public record UpstreamEntry(
        UpstreamId id,
        ServiceId service,
        Address address,
        DataCentreId dataCentre,
        int slots,
        boolean draining,
        AdvertisedCold cold,
        long revision) {

    /**
     * Creates an entry that does not state whether the upstream is cold.
     *
     * @param id identifies this incarnation
     * @param service the service that it belongs to
     * @param address where it accepts requests
     * @param dataCentre the data centre in which it runs
     * @param slots number of requests that it runs concurrently
     * @param draining whether it is draining and accepts no new requests
     * @param revision the platform's revision of the entry
     */
    public UpstreamEntry(
            UpstreamId id,
            ServiceId service,
            Address address,
            DataCentreId dataCentre,
            int slots,
            boolean draining,
            long revision) {
        this(id, service, address, dataCentre, slots, draining, AdvertisedCold.ABSENT, revision);
    }
}
