package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why a request is refused without an answer from an upstream. */
public enum RefusalCause {
    /** No configuration is known yet. */
    NO_CONFIGURATION,
    /** No route matches. */
    NO_ROUTE,
    /** The key belongs to no client account. */
    UNKNOWN_KEY,
    /** The memory for request bodies is exhausted. */
    BODY_MEMORY,
    /** No upstream of the service is listed. */
    NO_UPSTREAM,
    /** All listed upstreams of the service are draining. */
    UPSTREAMS_DRAINING,
    /** The operators evacuate the data centres of all upstreams of the service that are not draining. */
    UPSTREAMS_EVACUATED,
    /** No upstream can answer before the caller disconnects. */
    NO_ROOM,
    /** The rate limits of all upstreams that could answer are used up. */
    UPSTREAM_LIMITS,
    /** All upstreams that could answer are cold, and the requests that they tolerate meanwhile are used up. */
    UPSTREAMS_COLD,
    /** All upstreams that could answer requested a back-off from this router. */
    UPSTREAMS_BACK_OFF,
    /**
     * Engines could answer, but late, and the delay of other requests would cost several times the value of that
     * answer.
     */
    TOO_DEAR,
    /** The process is stopping. */
    STOPPING,
    /** The request timed out. */
    TIME_LIMIT,
    /** The last attempt failed and the route allows no more. */
    ATTEMPTS_USED,
    /** The retry budget is exhausted. */
    RETRY_BUDGET,
    /** An attempt failed that may have run, and the request is not repeatable. */
    MAY_HAVE_RUN,
    /** Upstreams crash whenever they run the request; another attempt would only crash another one. */
    ENDS_UPSTREAMS,
    /** Upstreams crash whenever they run a request with one of its prompt parts. */
    PART_ENDS_UPSTREAMS,
    /** Upstreams crashed under the same request or prompt part, which is on trial for another caller or attempt. */
    REPEAT_IN_TRIAL,
    /** An error that the code does not expect. */
    INTERNAL_ERROR;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
