package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;

/** The run of a request that was answered before its body came. */
public enum DiscardingRequestListener implements CallerRequestListener {
    /** Keeps nothing, so one serves all. */
    INSTANCE;

    @Override
    public void body(ByteBuf body) {
        body.release();
    }

    @Override
    public void disconnected() {
        // Nothing runs that could be ended.
    }

    @Override
    public void writable() {
        // Nothing is read that could go on.
    }
}
