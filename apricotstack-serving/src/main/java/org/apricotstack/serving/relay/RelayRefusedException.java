package org.apricotstack.serving.relay;

import java.io.Serial;
import java.net.ConnectException;

/** Another router did not open a connection to an upstream. */
final class RelayRefusedException extends ConnectException {

    @Serial
    private static final long serialVersionUID = 1L;

    private final RelayReply reply;

    /** Creates the exception for an answer. */
    RelayRefusedException(RelayReply reply) {
        super("not relayed: " + reply);
        this.reply = reply;
    }

    /** Returns the answer. */
    RelayReply reply() {
        return reply;
    }
}
