package org.apricotstack.core.ratelimit;

/**
 * The operator's bound on the requests that a cold upstream receives in any second, from all routers together.
 *
 * @param overage factor of the rate that the upstream's service tolerates while cold
 * @param slack requests allowed beyond that
 */
public record ColdBound(double overage, double slack) {

    /**
     * Returns the rate at which permits for a cold upstream are granted.
     *
     * @param toleratedPerSecond requests per second that a cold upstream of the service tolerates
     * @return permits per second, at most the tolerated rate; 0 if the service has no bound
     */
    public double permitsPerSecond(double toleratedPerSecond) {
        if (!(toleratedPerSecond > 0)) {
            return 0;
        }
        double within = PermitTerms.rateWithin(toleratedPerSecond * overage + slack);
        return Math.max(PermitIssuer.MIN_PER_SECOND, Math.min(toleratedPerSecond, within));
    }
}
