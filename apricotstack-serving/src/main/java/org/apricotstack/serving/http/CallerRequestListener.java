package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;

/** What is done for one request of a caller; called on the event loop. */
public interface CallerRequestListener {

    /**
     * Takes the whole body; not called if the request was answered before it came.
     *
     * @param body the body; the run owns it
     */
    void body(ByteBuf body);

    /** Says that the caller left and no answer can reach it. */
    void disconnected();

    /** Says that the caller reads again after it was too slow. */
    void writable();
}
