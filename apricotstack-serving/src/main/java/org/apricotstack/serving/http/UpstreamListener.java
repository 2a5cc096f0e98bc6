package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.upstream.FailureKind;

/** Receives the response to one request; called on the event loop, and not after {@link #end} or {@link #failed}. */
public interface UpstreamListener {

    /**
     * Returns whether the request may still be sent after a new connection was opened, which may take a while.
     *
     * @return {@code false} to fail the call as withheld without sending the request
     */
    default boolean mayBeSent() {
        return true;
    }

    /**
     * Called before the request is sent through another router.
     *
     * @param relay the address of that router
     */
    default void relayed(Address relay) {}

    /**
     * Called with the head of the response.
     *
     * @param head the parsed head
     * @param raw status and headers as received
     */
    void head(ResponseHead head, HttpResponse raw);

    /**
     * Called with the head of a late response to an earlier request on the same connection, which is skipped.
     *
     * @param head the parsed head
     */
    default void lateResponse(ResponseHead head) {}

    /**
     * Called with a chunk of the body.
     *
     * @param data the bytes; to be retained if they are used after the call
     */
    void data(ByteBuf data);

    /** Called when the response is complete. */
    void end();

    /**
     * Called when the response cannot be completed.
     *
     * @param kind the kind of failure
     */
    void failed(FailureKind kind);
}
