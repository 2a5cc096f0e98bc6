package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import org.apricotstack.core.upstream.FailureKind;

/** One request on its way to an upstream, from the choice of a connection to the end of the answer. */
public final class UpstreamCall {

    private final UpstreamProtocol protocol;
    private final String requestId;
    private final HttpRequest head;
    private final UpstreamListener listener;
    private ByteBuf body;
    private ChannelFuture connecting;
    private UpstreamConnection connection;
    private boolean finished;

    /** Creates a call that was not sent yet. */
    UpstreamCall(
            UpstreamProtocol protocol, String requestId, HttpRequest head, ByteBuf body, UpstreamListener listener) {
        this.protocol = protocol;
        this.requestId = requestId;
        this.head = head;
        this.body = body;
        this.listener = listener;
    }

    /** Notes the connection that is being opened. */
    void connecting(ChannelFuture future) {
        connecting = future;
    }

    /** Notes the connection that carries the call. */
    void attachTo(UpstreamConnection carrier) {
        connection = carrier;
    }

    /** Hands the body over to be sent. */
    ByteBuf takeBody() {
        ByteBuf taken = body;
        body = null;
        return taken;
    }

    /** Returns line and headers. */
    HttpRequest head() {
        return head;
    }

    /** Returns what reads the answer. */
    UpstreamProtocol protocol() {
        return protocol;
    }

    /** Tells whether an answer belongs to this call. */
    boolean isAnsweredBy(ResponseHead answer) {
        return requestId == null || answer.requestId() == null || requestId.equals(answer.requestId());
    }

    /** Returns who takes the answer. */
    UpstreamListener listener() {
        return listener;
    }

    /** Tells whether nothing more is to be told. */
    boolean finished() {
        return finished;
    }

    /** Ends the call with a whole answer. */
    void succeed() {
        if (!finished) {
            finished = true;
            listener.end();
        }
    }

    /** Ends the call without a whole answer. */
    void fail(FailureKind kind) {
        if (!finished) {
            finished = true;
            ReferenceCountUtil.release(takeUnsentBody());
            listener.failed(kind);
        }
    }

    /** Ends the call; the listener hears nothing more. The upstream notices that its connection is closed. */
    public void cancel() {
        if (finished) {
            return;
        }
        finished = true;
        ReferenceCountUtil.release(takeUnsentBody());
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel(false);
        }
    }

    /** Takes the body if it was not sent yet. */
    private ByteBuf takeUnsentBody() {
        return body == null ? null : takeBody();
    }

    /**
     * Stops or resumes reading the answer, for a caller that reads slowly.
     *
     * @param reading whether to read
     */
    public void read(boolean reading) {
        if (connection != null && !finished) {
            connection.read(reading);
        }
    }
}
