package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why an upstream that is listed as accepting requests is skipped for a request. */
public enum PassedOverCause {
    /** Its advertised rate limit is used up. */
    LIMIT,
    /** It is cold, and the requests that it tolerates meanwhile are used up. */
    COLD,
    /** It announced a drain in its responses. */
    DRAINING,
    /** It requested a back-off from this router. */
    BACK_OFF,
    /** The operators evacuate its data centre. */
    EVACUATED;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
