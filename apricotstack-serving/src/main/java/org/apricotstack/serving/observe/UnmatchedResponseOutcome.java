package org.apricotstack.serving.observe;

import java.util.Locale;

/** What became of a response that is not known to belong to the request in flight on its connection. */
public enum UnmatchedResponseOutcome {
    /** It is skipped, and the response to the request in flight may still follow. */
    SKIPPED,
    /** No other response can follow it on its connection, so that the request in flight fails. */
    REQUEST_FAILED,
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
