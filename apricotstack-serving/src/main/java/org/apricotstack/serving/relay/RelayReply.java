package org.apricotstack.serving.relay;

/** Answers of a router that is asked to relay a connection; on the wire one byte, the ordinal. */
public enum RelayReply {
    /** The connection to the upstream is open; all following bytes are relayed. */
    CONNECTED,
    /** The router has lost its own link to the upstream, or does not relay now. */
    NO_LINK,
    /** The router could not open a connection to the upstream. */
    UNREACHABLE,
    /** The address is no upstream that the router knows. */
    UNKNOWN_UPSTREAM;

    /**
     * Decodes an answer.
     *
     * @param code the byte received
     * @return the answer; {@link #NO_LINK} for a byte that this version does not know
     */
    static RelayReply of(byte code) {
        return code >= 0 && code < values().length ? values()[code] : NO_LINK;
    }
}
