package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;

/** Listener for a request that got its response before its body arrived. */
public enum DiscardingRequestListener implements CallerRequestListener {
    /** The only instance, as the listener has no state. */
    INSTANCE;

    @Override
    public void body(ByteBuf body) {
        body.release();
    }

    @Override
    public void disconnected() {
        // There is no run to end.
    }

    @Override
    public void writable() {
        // There is no response to resume.
    }
}
