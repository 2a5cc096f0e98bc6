package org.apricotstack.core.upstream;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;

/**
 * Chooses among the upstreams of a plain service by the expected time to completion, the failure probability and the
 * distance. All costs are in requests in flight at an upstream of normal speed.
 */
public final class PlainUpstreamSelector {

    /** Cost of a certain failure, or of an answer that would arrive after the deadline. */
    private static final double FAILURE_WEIGHT = 12;

    /** Cost of another data centre. */
    private static final double DISTANCE_WEIGHT = 0.6;

    private PlainUpstreamSelector() {}

    /**
     * Chooses an upstream.
     *
     * @param candidates the upstreams that may receive the request, in order of preference at equal cost
     * @param remainingMillis time until the caller's deadline, in milliseconds
     * @return the upstream, or {@code null} if there are no candidates
     */
    public static UpstreamId select(List<PlainCandidate> candidates, long remainingMillis) {
        UpstreamId best = null;
        double bestCost = Double.MAX_VALUE;
        for (PlainCandidate candidate : candidates) {
            double cost = cost(candidate, remainingMillis);
            if (cost < bestCost) {
                best = candidate.id();
                bestCost = cost;
            }
        }
        return best;
    }

    /** Returns the cost of a candidate. Without a slowdown it is the number of requests in flight plus the weights. */
    private static double cost(PlainCandidate candidate, long remainingMillis) {
        boolean late = candidate.slowdown() > 1 && candidate.expectedMillis() > remainingMillis;
        return (candidate.inFlight() + 1) * candidate.slowdown()
                - 1
                + FAILURE_WEIGHT * candidate.failureProbability()
                + (candidate.sameDataCentre() ? 0 : DISTANCE_WEIGHT)
                + (late ? FAILURE_WEIGHT : 0);
    }
}
