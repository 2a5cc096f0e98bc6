package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Sends the response to one request of a caller.
 *
 * <p>A response that cannot be completed ends with a closed connection and without its last chunk, so that the caller
 * can detect that it is incomplete.
 */
public final class CallerExchange {

    private final CallerConnection connection;
    private final boolean keepAlive;
    private final boolean withoutBody;
    private boolean answerStarted;
    private boolean closesAfterResponse;
    private boolean ended;

    /** Creates an exchange for a request whose headers were just read. */
    CallerExchange(CallerConnection connection, HttpRequest head) {
        this.connection = connection;
        this.keepAlive = HttpUtil.isKeepAlive(head);
        this.withoutBody = HttpMethod.HEAD.equals(head.method());
    }

    /** Creates an exchange for a request whose headers have not arrived whole. */
    CallerExchange(CallerConnection connection) {
        this.connection = connection;
        this.keepAlive = false;
        this.withoutBody = false;
    }

    /**
     * Sends a complete response. A response to HEAD and one with 304 have no body; they keep the length in their
     * headers, as that is the one of a successful response to GET.
     *
     * @param status its status
     * @param headers its headers, without hop-by-hop headers
     * @param body its body; released after it is written
     */
    public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (ended || answerStarted) {
            body.release();
            return;
        }
        answerStarted = true;
        HttpHeaders own = copyOf(headers);
        if (body.isReadable() || !keepsLength(status)) {
            own.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        HttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, sentPartOf(body), own, EmptyHttpHeaders.INSTANCE);
        boolean close = closesAfter(response);
        ended = true;
        connection.write(response);
        connection.answered(close);
    }

    /** Sends a complete response with a text. */
    void answer(HttpResponseStatus status, String text) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        answer(status, headers, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Refuses the request after an error of this program, unless it has a response; aborts one that has begun. */
    void refuseAfterError(boolean mayHaveRun) {
        if (answerStarted) {
            abort();
        } else if (mayHaveRun) {
            answer(HttpResponseStatus.BAD_GATEWAY, "internal_error may_have_run");
        } else {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "internal_error not_run");
        }
    }

    /**
     * Starts a response of unknown length.
     *
     * @param status its status
     * @param headers its headers, without hop-by-hop headers
     */
    public void begin(HttpResponseStatus status, HttpHeaders headers) {
        answerStarted = true;
        HttpHeaders own = copyOf(headers);
        if (!withoutBody) {
            own.remove(HttpHeaderNames.CONTENT_LENGTH);
            own.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, own);
        closesAfterResponse = closesAfter(response);
        connection.writeWithoutFlush(response);
    }

    /** Returns whether the length in the headers of a response is not that of its body (RFC 9110, section 8.6). */
    private boolean keepsLength(HttpResponseStatus status) {
        return withoutBody || HttpResponseStatus.NOT_MODIFIED.equals(status);
    }

    /** Returns a body, or an empty one instead of it if the response must not have any. */
    private ByteBuf sentPartOf(ByteBuf body) {
        if (!withoutBody) {
            return body;
        }
        body.release();
        return emptyBody();
    }

    /** Copies headers that were validated on arrival. */
    private static HttpHeaders copyOf(HttpHeaders headers) {
        return DefaultHttpHeadersFactory.headersFactory()
                .withValidation(false)
                .newHeaders()
                .set(headers);
    }

    /** Sets the connection header of a response, and returns whether the connection closes after it. */
    private boolean closesAfter(HttpResponse response) {
        boolean close = !keepAlive || connection.closing();
        if (close) {
            HttpUtil.setKeepAlive(response, false);
        }
        return close;
    }

    /**
     * Sends a part of the body of a started response.
     *
     * @param data the bytes; released after they are written
     */
    public void data(ByteBuf data) {
        if (ended || withoutBody) {
            data.release();
            return;
        }
        connection.writeWithoutFlush(new DefaultHttpContent(data));
    }

    /** Completes a started response. */
    public void complete() {
        if (ended) {
            return;
        }
        ended = true;
        connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
        connection.answered(closesAfterResponse);
    }

    /** Aborts the connection instead of completing the response. */
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort();
        }
    }

    /** Records that the caller disconnected. */
    void callerDisconnected() {
        ended = true;
    }

    /**
     * Returns the IP address that the caller connects from.
     *
     * @return the address, or an empty text once the connection is closed
     */
    public String callerIp() {
        return connection.callerIp();
    }

    /**
     * Returns whether a response was started.
     *
     * @return whether status and headers were sent
     */
    public boolean answerStarted() {
        return answerStarted;
    }

    /**
     * Returns whether nothing more can be sent.
     *
     * @return whether the response is complete or aborted, or the caller disconnected
     */
    public boolean ended() {
        return ended;
    }

    /**
     * Returns whether the caller reads fast enough.
     *
     * @return {@code false} while the write buffer is above its high-water mark
     */
    public boolean writable() {
        return connection.writable();
    }

    /**
     * Returns an empty body.
     *
     * @return no bytes
     */
    public static ByteBuf emptyBody() {
        return Unpooled.EMPTY_BUFFER;
    }
}
