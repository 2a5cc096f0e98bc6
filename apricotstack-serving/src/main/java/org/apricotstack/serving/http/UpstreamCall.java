package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.UnmatchedResponseCause;

/** A request to an upstream, from the choice of a connection to the end of the response. */
public final class UpstreamCall {

    private final UpstreamProtocol protocol;
    private final String requestId;
    private final HttpRequest head;
    private final UpstreamListener listener;
    private ByteBuf body;
    private Future<?> connecting;
    private UpstreamConnection connection;
    private boolean finished;

    /** Creates a call that has not been sent. */
    UpstreamCall(
            UpstreamProtocol protocol, String requestId, HttpRequest head, ByteBuf body, UpstreamListener listener) {
        this.protocol = protocol;
        this.requestId = requestId;
        this.head = head;
        this.body = body;
        this.listener = listener;
    }

    /** Sets the connection that is being opened. */
    void connecting(Future<?> future) {
        connecting = future;
    }

    /** Sets the connection that carries the call. */
    void attachTo(UpstreamConnection carrier) {
        connection = carrier;
    }

    /** Transfers the ownership of the body to the connection. */
    ByteBuf takeBody() {
        ByteBuf taken = body;
        body = null;
        return taken;
    }

    /** Returns request line and headers. */
    HttpRequest head() {
        return head;
    }

    /** Returns the id that the response must echo, or {@code null} if responses have none. */
    String requestId() {
        return requestId;
    }

    /** Returns the protocol that parses the response. */
    UpstreamProtocol protocol() {
        return protocol;
    }

    /**
     * Returns why a response is not known to belong to this call; {@code null} if it does. On a connection that carries
     * its first request, a response without an id can belong to no other one.
     */
    UnmatchedResponseCause mismatch(ResponseHead response, boolean firstOnConnection) {
        if (requestId == null) {
            return null;
        }
        if (response.requestId() == null) {
            return firstOnConnection ? null : UnmatchedResponseCause.NO_ID;
        }
        return requestId.equals(response.requestId()) ? null : UnmatchedResponseCause.OTHER_ID;
    }

    /** Returns the listener for the response. */
    UpstreamListener listener() {
        return listener;
    }

    /** Returns whether the call has ended, so that its listener is not called any more. */
    boolean finished() {
        return finished;
    }

    /** Ends the call with a complete response; one that the listener cannot process counts as cut. */
    void succeed() {
        if (finished) {
            return;
        }
        finished = true;
        try {
            listener.end();
        } catch (RuntimeException | Error e) {
            listener.failed(FailureKind.CUT);
            throw e;
        }
    }

    /** Ends the call without a complete response. */
    void fail(FailureKind kind) {
        if (!finished) {
            finished = true;
            ReferenceCountUtil.release(takeUnsentBody());
            listener.failed(kind);
        }
    }

    /** Cancels the call without notifying the listener. The upstream detects that its connection is closed. */
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

    /** Takes the body if it was not sent, else returns {@code null}. */
    private ByteBuf takeUnsentBody() {
        return body == null ? null : takeBody();
    }

    /**
     * Returns whether the call waits on a direct connection for bytes that are overdue.
     *
     * @param silentSinceMillis the time since which nothing may have arrived, in milliseconds
     * @return {@code false} if it is not sent yet, or leads through another router
     */
    public boolean isSilentDirectly(long silentSinceMillis) {
        return !finished
                && connection != null
                && !connection.isRelayed()
                && connection.lastActiveMillis() < silentSinceMillis;
    }

    /**
     * Returns the number of the connection that carries the call, counted from 1 in each process.
     *
     * @return the number; 0 before the call is sent
     */
    public long connectionNumber() {
        return connection == null ? 0 : connection.number();
    }

    /**
     * Returns how many requests the connection carried before this call.
     *
     * @return requests; 0 on a new connection
     */
    public long earlierRequests() {
        return connection == null ? 0 : connection.earlierRequests();
    }

    /** Counts an event of the response, of which one message may contain many. */
    public void countEvent() {
        if (connection != null) {
            connection.countEvent();
        }
    }

    /**
     * Pauses or resumes reading the response, for a caller that reads slowly.
     *
     * @param reading whether to read
     */
    public void read(boolean reading) {
        if (connection != null && !finished) {
            connection.read(reading);
        }
    }
}
