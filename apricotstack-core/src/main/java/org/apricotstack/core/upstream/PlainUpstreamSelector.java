package org.apricotstack.core.upstream;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;

/**
 * Chooses among the upstreams of a plain service by the expected time to completion, the failure probability and the
 * distance. All costs are in requests in flight at an upstream of normal speed.
 */
public final class PlainUpstreamSelector {

    /** Cost of a certain failure. */
    private static final double FAILURE_WEIGHT = 12;

    /** Cost of an answer expected after the deadline; it may still be in time, unlike that of an avoided upstream. */
    private static final double LATE_WEIGHT = 0.85 * FAILURE_WEIGHT;

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
        return candidate.inFlight()
                + riskCost(candidate, remainingMillis)
                + (candidate.sameDataCentre() ? 0 : DISTANCE_WEIGHT);
    }

    /** Returns the cost of a possible failure and of a slowdown; a slowdown adds up to the cost of a late answer. */
    private static double riskCost(PlainCandidate candidate, long remainingMillis) {
        double failureCost = FAILURE_WEIGHT * candidate.failureProbability();
        boolean late = candidate.slowdown() > 1 && candidate.expectedMillis() > remainingMillis;
        double slowdownCost = late ? LATE_WEIGHT : (candidate.inFlight() + 1) * (candidate.slowdown() - 1);
        return Math.max(failureCost, Math.min(LATE_WEIGHT, failureCost + slowdownCost));
    }
}
