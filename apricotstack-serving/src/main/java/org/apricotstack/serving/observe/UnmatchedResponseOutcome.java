package org.apricotstack.serving.observe;

import java.util.Locale;

/** What became of a response that is not known to belong to the request in flight on its connection. */
public enum UnmatchedResponseOutcome {
    /** It was used as the response to the request in flight. */
    USED,
    /** It is skipped, and the response to the request in flight may still follow. */
    SKIPPED,
    /** Its connection is closed; no request was in flight. */
    CONNECTION_CLOSED;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
