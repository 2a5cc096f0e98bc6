package org.apricotstack.serving;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.ratelimit.ColdBound;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.serving.gossip.RouterIdentity;

/**
 * Startup options of a router.
 *
 * @param identity identity and addresses of the router
 * @param seeds addresses of routers to contact first
 * @param memoryBytes memory of the process, in bytes
 * @param maxSockets maximum number of open sockets
 * @param retryRatio retries allowed per request, over all routers
 * @param retryWindowMillis sliding window of the retry ratio, in milliseconds
 * @param retrySlack retries allowed in addition to the ratio, over all routers
 * @param coldBound bound on the requests to cold upstreams, over all routers; {@code null} if there is none
 * @param stopTimeoutMillis time until a stopping process is killed, in milliseconds
 * @param maxAddressSeconds longest time for which callers may be told to cache addresses, in seconds
 * @param followsEvacuations whether evacuations of data centres are followed
 */
public record RouterOptions(
        RouterIdentity identity,
        List<Address> seeds,
        long memoryBytes,
        int maxSockets,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        ColdBound coldBound,
        long stopTimeoutMillis,
        int maxAddressSeconds,
        boolean followsEvacuations) {

    /**
     * Returns the time for which callers cache addresses.
     *
     * @return the lifetime that fits the stop timeout
     */
    public AddressLifetime addressLifetime() {
        return AddressLifetime.of(stopTimeoutMillis, maxAddressSeconds);
    }

    /** Copies the list of seeds. */
    public RouterOptions {
        seeds = List.copyOf(seeds);
    }
}
