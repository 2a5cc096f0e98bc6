package org.apricotstack.serving;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.gossip.RouterIdentity;

/**
 * What a router is started with.
 *
 * @param identity who it is
 * @param seeds addresses at which other routers may be found
 * @param memoryBytes memory of the process, in bytes
 * @param mostSockets sockets that it may open
 * @param retryRatio repeated sends allowed for each request, over all routers
 * @param retryWindowMillis sliding window of the above, in milliseconds
 * @param retrySlack repeated sends allowed beyond the ratio, over all routers
 * @param stopMillis time to stop in, in milliseconds
 */
public record RouterOptions(
        RouterIdentity identity,
        List<Address> seeds,
        long memoryBytes,
        int mostSockets,
        double retryRatio,
        long retryWindowMillis,
        double retrySlack,
        long stopMillis) {

    /** Copies the list. */
    public RouterOptions {
        seeds = List.copyOf(seeds);
    }
}
