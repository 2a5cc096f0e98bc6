package org.apricotstack.serving.http;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.apricotstack.serving.observe.ConnectionCloseCause;

/** A connection from a caller; handles its requests one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private final CallerServer server;
    private final PipelinedMessages pendingMessages = new PipelinedMessages();
    private final RequestBody body = new RequestBody();
    private final CloseReporter reporter;
    private final ReceiveTimer timer;
    private final WriteProgress writeProgress = new WriteProgress();
    private final ReadBeforeClose readBeforeClose;
    private StrictRequestDecoder decoder;
    private ChannelHandlerContext context;
    private CallerExchange exchange;
    private CallerRequestListener listener;
    private CallerRequest request;
    private boolean bodyComplete = true;
    private boolean closing;

    /** Creates the connection. */
    CallerConnection(CallerServer server) {
        this.server = server;
        this.reporter = new CloseReporter(server.observer());
        this.timer = new ReceiveTimer(server);
        this.readBeforeClose = new ReadBeforeClose(server);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Sets the decoder of the connection. */
    void decoder(StrictRequestDecoder requestDecoder) {
        decoder = requestDecoder;
    }

    /** Records that the first byte of a request arrived. */
    void headBegun() {
        timer.restart();
        server.becameBusy(this);
    }

    /** Returns whether no request is processed, but a next one has begun to arrive. */
    private boolean isHeadArriving() {
        return exchange == null && !closing && decoder.isHeadArriving();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (exchange != null && bodyComplete) {
            pendingMessages.add(message, ctx.channel());
            return;
        }
        process(message);
    }

    /** Processes a message of the current request. */
    private void process(Object message) {
        CallerExchange current = exchange;
        try {
            if (closing && exchange == null) {
                reporter.dropped(message, context.channel());
                return;
            }
            if (message instanceof HttpRequest head) {
                begin(head);
            }
            if (message instanceof HttpContent content) {
                append(content);
            }
        } catch (RuntimeException | Error e) {
            handlerFailed(message instanceof HttpRequest ? exchange : current, e);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Processes a request line and headers. */
    private void begin(HttpRequest head) {
        timer.proceed();
        body.begin();
        request = null;
        bodyComplete = false;
        exchange = new CallerExchange(this, head);
        listener = null;
        try {
            RequestHeadCheck.check(head, timer.limits());
            request = server.protocol().read(head);
            if (HttpUtil.is100ContinueExpected(head)) {
                write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            listener = server.handler().open(request, exchange);
        } catch (BadRequestException e) {
            refuse(e);
        }
    }

    /** Rejects a malformed request and closes the connection, as the next request cannot be found reliably. */
    private void refuse(BadRequestException malformed) {
        server.countMalformed();
        refuseAndClose(HttpResponseStatus.valueOf(malformed.status()), malformed.getMessage());
    }

    /** Ends the run of a request that has not arrived whole, and closes the connection after its refusal. */
    private void refuseAndClose(HttpResponseStatus status, String message) {
        CallerRequestListener ended = listener;
        listener = null;
        closing = true;
        bodyComplete = true;
        if (ended != null) {
            ended.disconnected();
        }
        exchange.answer(status, message);
    }

    /**
     * Ends a request after an error and closes the connection after its response. The error of a request that was
     * answered before only closes the connection.
     */
    private void handlerFailed(CallerExchange failed, Throwable error) {
        report(ConnectionCloseCause.HANDLER_ERROR, error);
        closing = true;
        if (failed != null && failed == exchange && !failed.ended()) {
            bodyComplete = true;
            HandlerErrors.end(server.handler(), request, listener, failed);
        } else if (exchange == null || exchange.ended()) {
            next(true);
        }
    }

    /** Processes a chunk of a request body. */
    private void append(HttpContent content) {
        if (exchange == null || bodyComplete) {
            return;
        }
        timer.proceed();
        if (content.decoderResult().isFailure()) {
            report(ConnectionCloseCause.DECODE_ERROR, content.decoderResult().cause());
            refuseBody(RequestHeadCheck.notProper(content.decoderResult().cause()));
            return;
        }
        ByteBuf data = content.content();
        if (body.count(data) > timer.limits().bodyBytes()) {
            refuseBody(RequestHeadCheck.bodyTooLong(timer.limits()));
            return;
        }
        if (data.isReadable() && !exchange.ended()) {
            body.append(data);
        }
        if (content instanceof LastHttpContent && exchange != null) {
            bodyComplete = true;
            if (exchange.ended()) {
                next(closing);
            } else {
                runAfterRead(exchange);
            }
        }
    }

    /** Runs a request once all is read that arrived with it, which may be the close of a caller that has left. */
    private void runAfterRead(CallerExchange arrived) {
        context.executor().execute(() -> {
            try {
                if (arrived == exchange && context.channel().isActive()) {
                    listener.body(body.take());
                }
            } catch (RuntimeException | Error e) {
                handlerFailed(arrived, e);
            }
        });
    }

    /** Rejects a body that is too long or malformed; a response that was sent before it is not cut. */
    private void refuseBody(BadRequestException malformed) {
        if (exchange.ended()) {
            bodyComplete = true;
            next(true);
        } else if (exchange.answerStarted()) {
            closeNow(ConnectionCloseCause.ABORTED_RESPONSE);
        } else {
            refuse(malformed);
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
        if (pendingMessages.isEmpty() && !decoder.isHeadArriving()) {
            timer.restart();
        } else {
            timer.proceed();
        }
        if (close) {
            closeAfterResponse();
            return;
        }
        context.channel().config().setAutoRead(true);
        while (!pendingMessages.isEmpty() && (exchange == null || !bodyComplete)) {
            process(pendingMessages.poll());
        }
        if (exchange == null) {
            server.becameIdle(this);
        }
    }

    /** Shuts down the output, and closes the connection after a delay. */
    private void closeAfterResponse() {
        closing = true;
        pendingMessages.forEach(message -> reporter.dropped(message, context.channel()));
        LingeringClose.begin(context, server);
    }

    /** Aborts the connection. */
    void abort() {
        report(ConnectionCloseCause.ABORTED_RESPONSE, null);
        closing = true;
        body.drop();
        exchange = null;
        listener = null;
        context.flush();
        context.close();
    }

    /** Returns whether no request is processed or has begun to arrive. */
    boolean isIdle() {
        return !closing && exchange == null && !isHeadArriving();
    }

    /**
     * Closes the connection if it has no request in flight. Responses are written and what has arrived is read first.
     * What arrives later is not read, so that the caller knows that its request has not run.
     */
    void closeIfIdle(ConnectionCloseCause cause) {
        if (isIdle()) {
            readBeforeClose.begin(context, () -> closeIfStillIdle(cause));
        }
    }

    /** Closes the connection unless a request has begun to arrive. */
    private void closeIfStillIdle(ConnectionCloseCause cause) {
        if (isIdle() && server.closesIdle(this)) {
            closeNow(cause);
        }
    }

    /** Closes the connection without a response to its request. */
    private void closeNow(ConnectionCloseCause cause) {
        report(cause, null);
        closing = true;
        callerDisconnected();
        context.close();
    }

    /** Closes the connection if a timeout for receiving a request has passed, also after what has arrived is read. */
    void closeTimedOut(long nowMillis) {
        if (writeProgress.advanced(context.channel()) && exchange == null) {
            timer.proceed();
        }
        ConnectionCloseCause timeout = timeout();
        if (timeout == null || !timer.hasPassed(timeout, nowMillis)) {
            return;
        }
        if (timeout == ConnectionCloseCause.RESPONSE_UNREAD || closing && exchange == null) {
            closeNow(timeout);
        } else {
            readBeforeClose.begin(context, this::closeIfStillTimedOut);
        }
    }

    /** Closes the connection if a timeout has passed; a request that is arriving is refused. */
    private void closeIfStillTimedOut() {
        ConnectionCloseCause timeout = timeout();
        if (timeout == null || closing && exchange == null || !timer.hasPassed(timeout, server.nowMillis())) {
            return;
        }
        boolean refusable =
                timeout == ConnectionCloseCause.HEADER_TIMEOUT || timeout == ConnectionCloseCause.BODY_TIMEOUT;
        if (!refusable || exchange != null && exchange.answerStarted()) {
            closeNow(timeout);
            return;
        }
        report(timeout, null);
        if (exchange == null) {
            exchange = new CallerExchange(this);
        }
        refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "request_timeout not_run");
    }

    /** Returns the timeout that applies now, or {@code null} while a response is due. */
    private ConnectionCloseCause timeout() {
        boolean unwritten = WriteProgress.unwrittenBytes(context.channel()) > 0;
        return ReceiveTimer.timeout(exchange, bodyComplete, unwritten, isHeadArriving());
    }

    /** Reports that the connection is about to be closed, with the error that caused it or {@code null}. */
    private void report(ConnectionCloseCause cause, Throwable error) {
        RequestStage stage = RequestStage.of(exchange, isHeadArriving(), bodyComplete);
        reporter.report(
                cause, stage, exchange == null || request == null ? null : request.id(), context.channel(), error);
    }

    /** Writes a message that is flushed together with others of the same turn of the event loop. */
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
        boolean unwritten = WriteProgress.unwrittenBytes(context.channel()) > 0;
        return readBeforeClose.isPending() || isHeadArriving() || unwritten;
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
        server.closed(this);
        pendingMessages.release();
        callerDisconnected();
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
        if (cause instanceof IOException) {
            report(ConnectionCloseCause.CALLER_RESET, cause);
            ctx.close();
        } else {
            handlerFailed(exchange, cause);
        }
    }
}
