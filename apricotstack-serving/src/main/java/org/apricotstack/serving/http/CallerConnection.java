package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

/** One connection of a caller; answers its requests one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Parts of later requests that are held while an answer is due; then reading stops. */
    private static final int MAX_HELD_MESSAGES = 32;

    /** Time for which an ended connection still reads, in milliseconds, so that no reset takes the answer away. */
    private static final long LINGER_MILLIS = 500;

    private final CallerServer server;
    private final Deque<Object> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private CallerExchange exchange;
    private CallerRequestListener run;
    private CompositeByteBuf body;
    private long bodyBytes;
    private boolean bodyWhole = true;
    private boolean closing;
    private boolean headBegun;
    private long lastMillis;

    /** Creates the connection. */
    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastMillis = server.nowMillis();
    }

    /** Notes bytes that came, before they are decoded. */
    void bytesReceived() {
        if (!headBegun) {
            lastMillis = server.nowMillis();
        }
        headBegun = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (exchange != null && bodyWhole) {
            held.addLast(message);
            if (held.size() > MAX_HELD_MESSAGES) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        process(message);
    }

    /** Takes a part of the request that is due. */
    private void process(Object message) {
        try {
            if (closing && exchange == null) {
                return;
            }
            if (message instanceof HttpRequest head) {
                begin(head);
            }
            if (message instanceof HttpContent content) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Takes a request's line and headers. */
    private void begin(HttpRequest head) {
        headBegun = false;
        lastMillis = server.nowMillis();
        bodyBytes = 0;
        bodyWhole = false;
        exchange = new CallerExchange(this, HttpUtil.isKeepAlive(head));
        run = null;
        if (head.decoderResult().isFailure()) {
            refuse(statusOf(head.decoderResult().cause()), "The request is not proper HTTP; send it as HTTP/1.1.");
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > server.limits().bodyBytes()) {
            refuse(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "Send at most " + server.limits().bodyBytes() + " bytes.");
            return;
        }
        try {
            CallerRequest request = server.protocol().read(head);
            if (HttpUtil.is100ContinueExpected(head)) {
                write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            run = server.handler().open(request, exchange);
        } catch (BadRequestException e) {
            refuse(HttpResponseStatus.valueOf(e.status()), e.getMessage());
        }
    }

    /** Returns the status that reports what could not be decoded. */
    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Refuses a request that is not proper, and ends the connection, as its rest cannot be told from a next one. */
    private void refuse(HttpResponseStatus status, String message) {
        server.countMalformed();
        closing = true;
        CallerExchange refused = exchange;
        bodyWhole = true;
        refused.answer(
                status,
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8"),
                Unpooled.copiedBuffer(message, StandardCharsets.UTF_8));
    }

    /** Takes a piece of a request's body. */
    private void append(HttpContent content) {
        if (exchange == null || bodyWhole) {
            return;
        }
        lastMillis = server.nowMillis();
        if (content.decoderResult().isFailure()) {
            callerDisconnected();
            closing = true;
            context.close();
            return;
        }
        ByteBuf data = content.content();
        bodyBytes += data.readableBytes();
        if (bodyBytes > server.limits().bodyBytes()) {
            refuseBody();
            return;
        }
        if (data.isReadable() && !exchange.ended()) {
            appendToBody(data);
        }
        if (content instanceof LastHttpContent && exchange != null) {
            bodyWhole = true;
            headBegun = false;
            if (exchange.ended()) {
                next(closing);
            } else {
                ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
                body = null;
                run.body(whole);
            }
        }
    }

    /** Refuses a body that turned out to be too long. */
    private void refuseBody() {
        CallerRequestListener ended = run;
        run = null;
        if (ended != null) {
            ended.disconnected();
        }
        if (exchange.ended()) {
            abort();
        } else {
            refuse(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "Send at most " + server.limits().bodyBytes() + " bytes.");
        }
    }

    /** Keeps a piece of a body. */
    private void appendToBody(ByteBuf data) {
        if (body == null) {
            body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
        body.addComponent(true, data.retain());
    }

    /** Drops what is kept of a body. */
    private void dropBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    /** Goes on to the next request after an answer was given. */
    void answered(boolean close) {
        closing |= close;
        dropBody();
        if (bodyWhole) {
            next(closing);
        }
    }

    /** Ends the connection, or takes the next request. */
    private void next(boolean close) {
        exchange = null;
        run = null;
        lastMillis = server.nowMillis();
        if (close) {
            endAfterAnswer();
            return;
        }
        context.channel().config().setAutoRead(true);
        while (!held.isEmpty() && (exchange == null || !bodyWhole)) {
            process(held.pollFirst());
        }
    }

    /** Says that nothing more comes, and closes a little later. */
    private void endAfterAnswer() {
        closing = true;
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) done -> {
            Channel channel = done.channel();
            if (channel instanceof DuplexChannel duplex && channel.isActive()) {
                duplex.shutdownOutput();
                server.schedule(LINGER_MILLIS, channel::close);
            } else {
                channel.close();
            }
        });
    }

    /** Breaks the connection off. */
    void abort() {
        closing = true;
        dropBody();
        exchange = null;
        run = null;
        context.close();
    }

    /** Closes the connection if it waits for a request. */
    void closeIfIdle() {
        closing = true;
        if (exchange == null && !headBegun) {
            endAfterAnswer();
        }
    }

    /** Ends what callers take too long for. */
    void closeTimedOut(long nowMillis) {
        long silence = nowMillis - lastMillis;
        boolean timedOut;
        if (exchange == null) {
            timedOut = silence
                    > (headBegun
                            ? server.limits().headerTimeoutMillis()
                            : server.limits().idleTimeoutMillis());
        } else {
            timedOut = !bodyWhole && silence > server.limits().idleTimeoutMillis();
        }
        if (timedOut) {
            closing = true;
            callerDisconnected();
            context.close();
        }
    }

    /** Writes something that others follow at once. */
    void writeWithoutFlush(Object message) {
        context.write(message);
    }

    /** Writes something. */
    void write(Object message) {
        context.writeAndFlush(message);
    }

    /** Tells whether the connection ends after the answer that is due. */
    boolean closing() {
        return closing || server.stopping();
    }

    /** Tells whether the caller keeps up. */
    boolean writable() {
        return context.channel().isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable() && run != null) {
            run.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        callerDisconnected();
        while (!held.isEmpty()) {
            ReferenceCountUtil.release(held.pollFirst());
        }
        server.closed(this);
    }

    /** Ends the run of a caller that left. */
    private void callerDisconnected() {
        dropBody();
        CallerRequestListener ended = run;
        CallerExchange open = exchange;
        run = null;
        exchange = null;
        bodyWhole = true;
        if (open != null && !open.ended()) {
            open.callerDisconnected();
            if (ended != null) {
                ended.disconnected();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
