package org.apricotstack.core.upstream;

import org.apricotstack.core.id.UpstreamId;

/**
 * A plain upstream that may receive a request.
 *
 * @param id the upstream
 * @param inFlight number of this router's requests in flight at it
 * @param failureProbability probability that a request to it fails, 0 to 1
 * @param sameDataCentre whether it runs in this router's data centre
 * @param slowdown how many times as long as the fastest upstreams of its service it takes; 1 if it is not slow
 * @param expectedMillis expected time to its answer, in milliseconds; 0 if unknown
 */
public record PlainCandidate(
        UpstreamId id,
        int inFlight,
        double failureProbability,
        boolean sameDataCentre,
        double slowdown,
        double expectedMillis) {}
