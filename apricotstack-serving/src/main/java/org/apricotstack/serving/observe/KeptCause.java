package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why an attempt whose upstream is silent is not given up. */
public enum KeptCause {
    /** The route allows no further attempt. */
    ATTEMPTS_USED,
    /** The request may have run and is not repeatable. */
    MAY_HAVE_RUN,
    /** The time of the request is nearly over. */
    TIME_LIMIT,
    /** The retry budget of the service is exhausted. */
    RETRY_BUDGET,
    /** No other upstream can take the request now. */
    NO_REPLACEMENT,
    /** Another upstream could take the request, but only at a high cost to other requests. */
    TOO_DEAR,
    /** Another upstream needs a permit that has not been granted. */
    NO_PERMIT,
    /** The process is stopping, and another upstream might not complete the request before its end. */
    STOPPING,
    /** The request would have to wait for a trial of a suspected request. */
    IN_TRIAL;

    /**
     * Tells whether the request may not be sent again, whatever other upstreams could do.
     *
     * @return {@code false} if the attempt only lacks a replacement
     */
    public boolean forbidsRetry() {
        return this == ATTEMPTS_USED || this == MAY_HAVE_RUN || this == TIME_LIMIT || this == RETRY_BUDGET;
    }

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
