package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why a request ends without an answer of an upstream. */
public enum RefusalCause {
    /** No configuration is known yet. */
    NO_CONFIGURATION,
    /** No route matches. */
    NO_ROUTE,
    /** The key belongs to no client account. */
    UNKNOWN_KEY,
    /** The process holds as many bytes of requests as it may. */
    BODY_MEMORY,
    /** No upstream of the service is listed. */
    NO_UPSTREAM,
    /** All upstreams of the service that are listed are about to leave. */
    UPSTREAMS_DRAINING,
    /** No upstream can answer before the caller leaves. */
    NO_ROOM,
    /** All upstreams that could answer have got as many requests as they said that they take. */
    UPSTREAM_LIMITS,
    /** All upstreams that could answer asked this router to send them nothing for a while. */
    UPSTREAMS_BACK_OFF,
    /** Engines could answer, but late, and others would lose several times what that answer is worth. */
    TOO_DEAR,
    /** The process is about to stop. */
    STOPPING,
    /** The time of the request is over. */
    TIME_LIMIT,
    /** The last attempt failed and its route allows no more. */
    ATTEMPTS_USED,
    /** Another attempt would go beyond what routers may repeat. */
    RETRY_BUDGET,
    /** An attempt failed that may have run, and the request must not run twice. */
    MAY_HAVE_RUN,
    /** Upstreams end whenever they begin to run the request; to send it again would only end another one. */
    ENDS_UPSTREAMS,
    /** An upstream ended under the same request, which is being tried for another caller or attempt. */
    REPEAT_IN_TRIAL;

    /**
     * Returns the name for logs and counters.
     *
     * @return lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
