package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.upstream.FailureKind;

/** Takes what an upstream answers to one request; called on the event loop. Nothing comes after an end or a failure. */
public interface UpstreamListener {

    /**
     * Tells whether the request may still be sent, now that a new connection is open; opening it can take a while.
     *
     * @return {@code false} to give it back unsent, as withheld
     */
    default boolean mayBeSent() {
        return true;
    }

    /**
     * Takes the beginning of the answer.
     *
     * @param head what it says
     * @param raw status and headers as sent
     */
    void head(ResponseHead head, HttpResponse raw);

    /**
     * Takes the beginning of an answer to an earlier request, which came late over the same connection and is skipped.
     *
     * @param head what it says
     */
    default void lateResponse(ResponseHead head) {}

    /**
     * Takes a piece of the body.
     *
     * @param data the bytes; the listener does not keep them without retaining
     */
    void data(ByteBuf data);

    /** Says that the whole body came. */
    void end();

    /**
     * Says that no whole answer will come.
     *
     * @param kind what went wrong
     */
    void failed(FailureKind kind);
}
