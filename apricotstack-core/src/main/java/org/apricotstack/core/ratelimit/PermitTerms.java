package org.apricotstack.core.ratelimit;

/** The time over which a rate limit holds, which decides for how long permits are valid. */
public enum PermitTerms {

    /** The limit holds as an average over several seconds. */
    AVERAGE(1_000, 0.5),
    /** The limit holds in every single second. */
    EVERY_SECOND(250, 0.1);

    /** Unused permits that accumulate apart from the rate. */
    private static final double BURST_PERMITS = 2;

    /** Additional permits that accumulate, in seconds of the rate. */
    private static final double BURST_SECONDS = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final long validMillis;
    private final double coverageSeconds;

    /** Creates terms. */
    PermitTerms(long validMillis, double coverageSeconds) {
        this.validMillis = validMillis;
        this.coverageSeconds = coverageSeconds;
    }

    /**
     * Returns the time for which a permit is valid.
     *
     * @return milliseconds from the permit request
     */
    long validMillis() {
        return validMillis;
    }

    /**
     * Returns the time whose expected demand one permit request covers.
     *
     * @return seconds
     */
    double coverageSeconds() {
        return coverageSeconds;
    }

    /**
     * Returns the maximum number of unused permits that accumulate; with fewer, a small limit could not be used fully
     * by random arrivals.
     *
     * @param rate rate at which the issuer grants permits, per second
     * @param share share of the limit that the issuer grants, 0 to 1
     * @return permits
     */
    double burst(double rate, double share) {
        double permits = this == AVERAGE ? BURST_PERMITS : Math.max(1, BURST_PERMITS * share);
        return permits + BURST_SECONDS * rate;
    }

    /**
     * Returns the greatest rate that keeps to a bound in every second. Within one second, the permits that had
     * accumulated, those that were granted while still valid at its start, and those granted within it may be used.
     *
     * @param bound requests that an upstream may receive in any second
     * @return permits per second, possibly negative
     */
    static double rateWithin(double bound) {
        double permitsOfTwoIssuers = BURST_PERMITS + 1;
        return (bound - permitsOfTwoIssuers) / (1 + BURST_SECONDS + EVERY_SECOND.validMillis / MILLIS_PER_SECOND);
    }
}
