package org.apricotstack.serving.http;

import java.net.InetSocketAddress;
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
import io.netty.channel.ChannelOutboundBuffer;
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

/** A connection from a caller; handles its requests one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Messages of pipelined requests that are buffered while a response is due; reading pauses beyond that. */
    private static final int MAX_PENDING_MESSAGES = 32;

    /**
     * Time for which a connection keeps reading after the last response, in milliseconds; an earlier close could reset
     * it before the caller has read the response.
     */
    private static final long LINGER_MILLIS = 500;

    /** Time in which an idle connection reads what has arrived before it is closed, in milliseconds. */
    private static final long IDLE_CLOSE_MILLIS = 20;

    private final CallerServer server;
    private final Deque<Object> pendingMessages = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private CallerExchange exchange;
    private CallerRequestListener listener;
    private CompositeByteBuf body;
    private long bodyBytes;
    private boolean bodyComplete = true;
    private boolean closing;
    private boolean headStarted;
    private boolean closesWhenIdle;
    private long lastReadMillis;

    /** Creates the connection. */
    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastReadMillis = server.nowMillis();
    }

    /** Records that bytes arrived, before they are decoded. */
    void bytesReceived() {
        if (!headStarted) {
            lastReadMillis = server.nowMillis();
        }
        headStarted = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (exchange != null && bodyComplete) {
            pendingMessages.addLast(message);
            if (pendingMessages.size() > MAX_PENDING_MESSAGES) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        process(message);
    }

    /** Processes a message of the current request. */
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

    /** Processes a request line and headers. */
    private void begin(HttpRequest head) {
        headStarted = false;
        lastReadMillis = server.nowMillis();
        bodyBytes = 0;
        bodyComplete = false;
        exchange = new CallerExchange(this, HttpUtil.isKeepAlive(head));
        listener = null;
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
            listener = server.handler().open(request, exchange);
        } catch (BadRequestException e) {
            refuse(HttpResponseStatus.valueOf(e.status()), e.getMessage());
        }
    }

    /** Returns the status for a decoding error. */
    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Rejects a malformed request and closes the connection, as the start of a next request cannot be found reliably.
     */
    private void refuse(HttpResponseStatus status, String message) {
        server.countMalformed();
        closing = true;
        CallerExchange refused = exchange;
        bodyComplete = true;
        refused.answer(
                status,
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8"),
                Unpooled.copiedBuffer(message, StandardCharsets.UTF_8));
    }

    /** Processes a chunk of a request body. */
    private void append(HttpContent content) {
        if (exchange == null || bodyComplete) {
            return;
        }
        lastReadMillis = server.nowMillis();
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
            bodyComplete = true;
            headStarted = false;
            if (exchange.ended()) {
                next(closing);
            } else {
                ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
                body = null;
                listener.body(whole);
            }
        }
    }

    /** Rejects a body that turned out to be too long. */
    private void refuseBody() {
        CallerRequestListener ended = listener;
        listener = null;
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

    /** Appends a chunk to the buffered body. */
    private void appendToBody(ByteBuf data) {
        if (body == null) {
            body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
        body.addComponent(true, data.retain());
    }

    /** Releases the buffered body. */
    private void dropBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    /** Continues with the next request after a response. */
    void answered(boolean close) {
        closing |= close;
        dropBody();
        if (bodyComplete) {
            next(closing);
        }
    }

    /** Closes the connection, or processes the next request. */
    private void next(boolean close) {
        exchange = null;
        listener = null;
        lastReadMillis = server.nowMillis();
        if (close) {
            closeAfterResponse();
            return;
        }
        context.channel().config().setAutoRead(true);
        while (!pendingMessages.isEmpty() && (exchange == null || !bodyComplete)) {
            process(pendingMessages.pollFirst());
        }
        if (exchange == null && server.closesIdle()) {
            closeIfIdle();
        }
    }

    /** Shuts down the output, and closes the connection after a delay. */
    private void closeAfterResponse() {
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

    /** Aborts the connection. */
    void abort() {
        closing = true;
        dropBody();
        exchange = null;
        listener = null;
        context.close();
    }

    /**
     * Closes the connection if it has no request in flight; otherwise the next response closes it. Responses are
     * written and what has arrived is read first. What arrives later is not read, so that the caller knows that its
     * request has not run.
     */
    void closeIfIdle() {
        if (closing || exchange != null || headStarted) {
            return;
        }
        closesWhenIdle = true;
        context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(written -> server.schedule(IDLE_CLOSE_MILLIS, this::closeIfStillIdle));
    }

    /** Closes the connection unless a request has begun to arrive. */
    private void closeIfStillIdle() {
        closesWhenIdle = false;
        if (exchange == null && !headStarted) {
            closing = true;
            context.close();
        }
    }

    /** Closes the connection if a timeout for receiving a request has passed. */
    void closeTimedOut(long nowMillis) {
        long silence = nowMillis - lastReadMillis;
        boolean timedOut;
        if (exchange == null) {
            timedOut = silence
                    > (headStarted
                            ? server.limits().headerTimeoutMillis()
                            : server.limits().idleTimeoutMillis());
        } else {
            timedOut = !bodyComplete && silence > server.limits().idleTimeoutMillis();
        }
        if (timedOut) {
            closing = true;
            callerDisconnected();
            context.close();
        }
    }

    /** Writes a message without flushing, as others follow at once. */
    void writeWithoutFlush(Object message) {
        context.write(message);
    }

    /** Writes and flushes a message. */
    void write(Object message) {
        context.writeAndFlush(message);
    }

    /** Returns whether the connection closes after the current response. */
    boolean closing() {
        return closing || server.stopping();
    }

    /** Returns the IP address of the caller, or an empty text once the connection is closed. */
    String callerIp() {
        return context.channel().remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }

    /** Returns whether a request has begun to arrive, or bytes of a response were not written yet. */
    boolean isUnsettled() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        boolean unwritten = buffer != null && buffer.totalPendingWriteBytes() > 0;
        boolean arriving = exchange == null && headStarted && !closing;
        return closesWhenIdle || arriving || unwritten;
    }

    /** Returns whether the write buffer is below its high-water mark. */
    boolean writable() {
        return context.channel().isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable() && listener != null) {
            listener.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        callerDisconnected();
        while (!pendingMessages.isEmpty()) {
            ReferenceCountUtil.release(pendingMessages.pollFirst());
        }
        server.closed(this);
    }

    /** Ends the run of a caller that disconnected. */
    private void callerDisconnected() {
        dropBody();
        CallerRequestListener ended = listener;
        CallerExchange open = exchange;
        listener = null;
        exchange = null;
        bodyComplete = true;
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
