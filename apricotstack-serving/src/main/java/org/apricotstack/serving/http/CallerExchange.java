package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Takes the answer to one request of a caller.
 *
 * <p>An answer of which only a part can be given ends with a closed connection and without its last chunk, so that it
 * never looks complete.
 */
public final class CallerExchange {

    private final CallerConnection connection;
    private final boolean keepAlive;
    private boolean answerStarted;
    private boolean ended;

    /** Creates an exchange for the request that was just read. */
    CallerExchange(CallerConnection connection, boolean keepAlive) {
        this.connection = connection;
        this.keepAlive = keepAlive;
    }

    /**
     * Gives a whole answer.
     *
     * @param status its status
     * @param headers its headers, without those that concern the connection
     * @param body its body; released once it was written
     */
    public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (ended || answerStarted) {
            body.release();
            return;
        }
        answerStarted = true;
        HttpHeaders own = copyOf(headers);
        own.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        HttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, own, EmptyHttpHeaders.INSTANCE);
        boolean close = closesAfter(response);
        ended = true;
        connection.write(response);
        connection.answered(close);
    }

    /**
     * Begins an answer whose length is not known.
     *
     * @param status its status
     * @param headers its headers, without those that concern the connection
     */
    public void begin(HttpResponseStatus status, HttpHeaders headers) {
        answerStarted = true;
        HttpHeaders own = copyOf(headers);
        own.remove(HttpHeaderNames.CONTENT_LENGTH);
        own.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, own);
        closesAfter(response);
        connection.writeWithoutFlush(response);
    }

    /** Copies headers that were checked where they came in. */
    private static HttpHeaders copyOf(HttpHeaders headers) {
        return DefaultHttpHeadersFactory.headersFactory()
                .withValidation(false)
                .newHeaders()
                .set(headers);
    }

    /** Marks a response whose connection is closed after it. */
    private boolean closesAfter(HttpResponse response) {
        boolean close = !keepAlive || connection.closing();
        if (close) {
            HttpUtil.setKeepAlive(response, false);
        }
        return close;
    }

    /**
     * Gives a piece of an answer that was begun.
     *
     * @param data the bytes; released once they were written
     */
    public void data(ByteBuf data) {
        if (ended) {
            data.release();
            return;
        }
        connection.write(new DefaultHttpContent(data));
    }

    /** Ends an answer that was begun and is whole. */
    public void complete() {
        if (ended) {
            return;
        }
        ended = true;
        connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
        connection.answered(!keepAlive || connection.closing());
    }

    /** Ends an answer that is not whole, or gives none; the caller sees a connection that breaks. */
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort();
        }
    }

    /** Notes that the caller left. */
    void callerDisconnected() {
        ended = true;
    }

    /**
     * Tells whether an answer was begun.
     *
     * @return whether status and headers were given
     */
    public boolean answerStarted() {
        return answerStarted;
    }

    /**
     * Tells whether nothing more can be given.
     *
     * @return whether the answer is whole, broken off, or the caller left
     */
    public boolean ended() {
        return ended;
    }

    /**
     * Tells whether the caller keeps up.
     *
     * @return {@code false} while much is written that the caller has not read
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
