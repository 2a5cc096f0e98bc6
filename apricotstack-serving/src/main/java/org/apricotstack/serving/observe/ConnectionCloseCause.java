package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why the router closes a connection of a caller. */
public enum ConnectionCloseCause {
    /** An error that the code does not expect, while a request was processed. */
    HANDLER_ERROR,
    /** The body of a request is not proper HTTP. */
    DECODE_ERROR,
    /** No request began to arrive in time. */
    IDLE_TIMEOUT,
    /** The headers of a request did not arrive in time. */
    HEADER_TIMEOUT,
    /** The body of a request did not arrive in time. */
    BODY_TIMEOUT,
    /** A response that was started cannot be completed. */
    ABORTED_RESPONSE,
    /** The caller no longer reads a response that is not written yet. */
    RESPONSE_UNREAD,
    /** A request arrived behind one whose response closes the connection. */
    BEHIND_CLOSING_RESPONSE,
    /** The router is stopping and the connection was idle. */
    IDLE_AT_STOP,
    /** The maximum of open connections was reached, and the connection was the longest idle one. */
    IDLE_AT_MAXIMUM,
    /** The maximum of open connections was reached, and none was idle. */
    TOO_MANY_CONNECTIONS,
    /** The caller reset the connection, or it was lost. */
    CALLER_RESET;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
