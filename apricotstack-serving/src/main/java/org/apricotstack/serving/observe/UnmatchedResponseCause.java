package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why a response of an upstream is not known to belong to the request in flight on its connection. */
public enum UnmatchedResponseCause {
    /** It has the id of another request. */
    OTHER_ID,
    /** It has no id, and the connection has carried an earlier request. */
    NO_ID,
    /** Its head begins with a part of another response. */
    SPLICED,
    /** Its head is malformed, and the connection has carried an earlier request. */
    MALFORMED,
    /** No request is in flight. */
    NO_REQUEST;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
