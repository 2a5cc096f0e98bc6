package org.apricotstack.serving.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
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
import io.netty.util.ReferenceCountUtil;
import org.apricotstack.serving.observe.ConnectionCloseCause;

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
    private final RequestBody body = new RequestBody();
    private final CloseReporter reporter;
    private ChannelHandlerContext context;
    private CallerExchange exchange;
    private CallerRequestListener listener;
    private String requestId;
    private boolean bodyComplete = true;
    private boolean closing;
    private boolean headStarted;
    private boolean closesWhenIdle;
    private long lastReadMillis;

    /** Creates the connection. */
    CallerConnection(CallerServer server) {
        this.server = server;
        this.reporter = new CloseReporter(server.observer());
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
                reportDropped(message);
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
        body.begin();
        requestId = null;
        bodyComplete = false;
        exchange = new CallerExchange(this, HttpUtil.isKeepAlive(head));
        listener = null;
        if (head.decoderResult().isFailure()) {
            refuse(
                    DecodingErrors.status(head.decoderResult().cause()),
                    "The request is not proper HTTP; send it as HTTP/1.1.");
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
            requestId = request.id();
            if (HttpUtil.is100ContinueExpected(head)) {
                write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            listener = server.handler().open(request, exchange);
        } catch (BadRequestException e) {
            refuse(HttpResponseStatus.valueOf(e.status()), e.getMessage());
        }
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
            report(ConnectionCloseCause.DECODE_ERROR, content.decoderResult().cause());
            callerDisconnected();
            closing = true;
            context.close();
            return;
        }
        ByteBuf data = content.content();
        if (body.count(data) > server.limits().bodyBytes()) {
            refuseBody();
            return;
        }
        if (data.isReadable() && !exchange.ended()) {
            body.append(data);
        }
        if (content instanceof LastHttpContent && exchange != null) {
            bodyComplete = true;
            headStarted = false;
            if (exchange.ended()) {
                next(closing);
            } else {
                listener.body(body.take());
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

    /** Continues with the next request after a response. */
    void answered(boolean close) {
        closing |= close;
        body.drop();
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
        pendingMessages.forEach(this::reportDropped);
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
        report(ConnectionCloseCause.ABORTED_RESPONSE, null);
        closing = true;
        body.drop();
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
            report(ConnectionCloseCause.IDLE_AT_STOP, null);
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
            report(timeoutCause(), null);
            closing = true;
            callerDisconnected();
            context.close();
        }
    }

    /** Returns the cause of a close because of a timeout for receiving a request. */
    private ConnectionCloseCause timeoutCause() {
        if (exchange != null) {
            return ConnectionCloseCause.BODY_TIMEOUT;
        }
        return headStarted && !closing ? ConnectionCloseCause.HEADER_TIMEOUT : ConnectionCloseCause.IDLE_TIMEOUT;
    }

    /** Reports a request that is not processed, as the response to an earlier one closes the connection. */
    private void reportDropped(Object message) {
        if (message instanceof HttpRequest) {
            reporter.report(
                    ConnectionCloseCause.BEHIND_CLOSING_RESPONSE,
                    RequestStage.HEAD_ARRIVING,
                    null,
                    context.channel(),
                    null);
        }
    }

    /** Reports that the connection is about to be closed, with the error that caused it or {@code null}. */
    private void report(ConnectionCloseCause cause, Throwable error) {
        RequestStage stage = RequestStage.of(exchange, headStarted && !closing, bodyComplete);
        reporter.report(cause, stage, exchange == null ? null : requestId, context.channel(), error);
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
        return CloseReporter.ipOf(context.channel());
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
        body.drop();
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
        boolean lost = cause instanceof IOException;
        report(lost ? ConnectionCloseCause.CALLER_RESET : ConnectionCloseCause.HANDLER_ERROR, cause);
        ctx.close();
    }
}
