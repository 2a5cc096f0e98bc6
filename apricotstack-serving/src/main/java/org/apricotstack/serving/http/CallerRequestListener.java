package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;

/** Receives the body of a caller's request and the state of its connection; called on the event loop. */
public interface CallerRequestListener {

    /**
     * Receives the complete body; not called if a response was sent before it arrived.
     *
     * @param body the body; the listener releases it
     */
    void body(ByteBuf body);

    /** Called when the caller disconnected, so that no response can reach it. */
    void disconnected();

    /**
     * Called after an error in this listener: ends the run, and refuses the request or aborts a response that has
     * begun. The connection does both as for a request that may have run if this method does not.
     */
    default void failed() {
        disconnected();
    }

    /** Called when the write buffer has drained after it was full. */
    void writable();
}
