package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.apricotstack.core.http.HeadViolation;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.UnmatchedResponseCause;
import org.apricotstack.serving.observe.UnmatchedResponseOutcome;

/**
 * A connection to an upstream, for one request at a time.
 *
 * <p>A response to an earlier request may arrive late, bytes may follow a complete response, and a response without a
 * length may end with a reset, or with the end of the router that relays it. The echoed request id tells the response
 * to the request in flight from late ones, which are skipped; a response without an id belongs only to the first
 * request of a connection. After any of these the connection is not reused.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

    /** Maximum size of a status line and headers, in bytes. */
    private static final int HEADER_BYTES = 32 * 1024;

    private final UpstreamConnections pool;
    private final long number;
    private final Address address;
    private final Address relay;
    private final UpstreamResponseDecoder decoder =
            new UpstreamResponseDecoder(new HttpDecoderConfig().setMaxHeaderSize(HEADER_BYTES), this::isAnswerToHead);
    private ChannelHandlerContext context;
    private UpstreamCall call;
    private UpstreamProtocol protocol;
    private long requests;
    private final CarriedRequestIds carriedIds = new CarriedRequestIds();
    private final SkippedResponses skipped = new SkippedResponses();
    private final ResponseReporter reporter;
    private ResponseHead answer;
    private boolean skippingLateResponse;
    private boolean skippedResponse;
    private boolean informational;
    private boolean framed;
    private boolean notReusable;
    private boolean broken;
    private ChannelFuture writeFuture;
    private long reusableUntilMillis;
    private long lastActiveMillis;

    /** Creates a connection that is being opened, through the given router or, if that is {@code null}, directly. */
    UpstreamConnection(UpstreamConnections pool, long number, Address address, Address relay) {
        this.pool = pool;
        this.number = number;
        this.address = address;
        this.relay = relay;
        this.reporter = new ResponseReporter(pool, number, address, relay);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns the decoder of its responses. */
    UpstreamResponseDecoder decoder() {
        return decoder;
    }

    /** Returns the number of the connection among those of its pool. */
    long number() {
        return number;
    }

    /** Returns how many requests the connection carried before the current or last one; 0 for its first one. */
    long earlierRequests() {
        return requests - 1;
    }

    /** Returns the address of the upstream. */
    Address address() {
        return address;
    }

    /** Returns whether the connection leads through another router. */
    boolean isRelayed() {
        return relay != null;
    }

    /** Returns the address of the router through which the connection leads, or {@code null} for a direct one. */
    Address relay() {
        return relay;
    }

    /** Returns when bytes last arrived, or the request was sent, in milliseconds. */
    long lastActiveMillis() {
        return lastActiveMillis;
    }

    /** Sets the time until which the idle connection may be reused. */
    void reusableUntil(long millis) {
        reusableUntilMillis = millis;
    }

    /** Returns whether the connection may be reused for a request. */
    boolean usable(long nowMillis) {
        return context.channel().isActive()
                && !notReusable
                && call == null
                && !decoder.holdsPartOfResponse()
                && nowMillis < reusableUntilMillis;
    }

    /** Returns whether an earlier request on the connection may have had the given id. */
    boolean mayHaveCarried(String requestId) {
        return carriedIds.mayContain(requestId);
    }

    /** Sends a request. */
    void start(UpstreamCall next) {
        call = next;
        protocol = next.protocol();
        notReusable |= !HttpUtil.isKeepAlive(next.head());
        requests++;
        if (next.requestId() != null) {
            carriedIds.add(next.requestId());
        }
        lastActiveMillis = pool.nowMillis();
        answer = null;
        skippingLateResponse = false;
        skipped.reset();
        reporter.requestStarted(next.requestId());
        next.attachTo(this);
        context.write(next.head());
        writeFuture = context.writeAndFlush(new DefaultLastHttpContent(next.takeBody()));
        writeFuture.addListener(done -> {
            if (!done.isSuccess()) {
                notReusable = true;
                pool.closeAfterFailedWrite(this);
            }
        });
    }

    /** Counts an event of the response, of which one message may contain many. */
    void countEvent() {
        ReadPacing.countEvent(context.channel());
    }

    /** Pauses or resumes reading. */
    void read(boolean reading) {
        context.channel().config().setAutoRead(reading);
    }

    /** Closes the connection. */
    void close() {
        notReusable = true;
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastActiveMillis = pool.nowMillis();
        try {
            if (message instanceof HttpResponse head) {
                head(head);
            }
            if (message instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Processes the head of a response. */
    private void head(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            malformedHead(MalformedHeadException.violation(head.decoderResult().cause()));
            return;
        }
        if (call == null) {
            unexpectedHead(head);
            return;
        }
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            headSkipped();
            return;
        }
        ResponseHead read = call.protocol().read(head);
        if (requests > 1 && SplicedHeadCheck.isSpliced(head)) {
            failAsUnmatched(read, UnmatchedResponseCause.SPLICED);
            return;
        }
        UnmatchedResponseCause mismatch = mismatch(read);
        if (mismatch != null) {
            skip(head, read, mismatch);
            return;
        }
        answer = read;
        framed = PlainProtocol.isFramed(call.head().method(), head);
        boolean echoes = call.requestId() == null || read.requestId() != null;
        notReusable |= read.closesConnection() || !framed || !echoes;
        call.listener().head(read, head);
    }

    /** Skips a response that is not known to belong to the request, which fails if no other response can follow. */
    private void skip(HttpResponse head, ResponseHead read, UnmatchedResponseCause cause) {
        if (!PlainProtocol.isFramed(HttpMethod.GET, head)) {
            failAsUnmatched(read, cause);
            return;
        }
        notReusable = true;
        skippedResponse = true;
        skippingLateResponse = true;
        reporter.unmatched(read, cause, UnmatchedResponseOutcome.SKIPPED);
        call.listener().lateResponse(read);
        headSkipped();
    }

    /**
     * Fails the request after a response that is not known to belong to it and that no other one can follow. On the
     * first request of the connection the upstream itself is at fault.
     */
    private void failAsUnmatched(ResponseHead read, UnmatchedResponseCause cause) {
        reporter.unmatched(read, cause, UnmatchedResponseOutcome.REQUEST_FAILED);
        pool.responseLost(address);
        fail(requests == 1 ? FailureKind.SPOILED : FailureKind.UNMATCHED);
    }

    /** Returns why a response is not known to belong to the request in flight; {@code null} if it does. */
    private UnmatchedResponseCause mismatch(ResponseHead read) {
        return call.mismatch(read, requests == 1 && !skippedResponse);
    }

    /** Returns whether a response belongs to a HEAD request in flight, so that it has no body. */
    boolean isAnswerToHead(HttpResponse head) {
        return call != null
                && HttpMethod.HEAD.equals(call.head().method())
                && mismatch(call.protocol().read(head)) == null;
    }

    /**
     * Fails the request after a malformed head, which on a kept connection may begin with a part of another one unless
     * it is cut by the end of the connection.
     */
    private void malformedHead(HeadViolation violation) {
        if (violation == HeadViolation.OTHER && UpstreamSocket.hasEnded(context.channel())) {
            failAsSpoiled();
            return;
        }
        reporter.malformed(violation);
        if (call == null || requests == 1) {
            fail(FailureKind.MALFORMED);
            return;
        }
        reporter.undecoded(UnmatchedResponseCause.MALFORMED, UnmatchedResponseOutcome.REQUEST_FAILED);
        pool.responseLost(address);
        fail(FailureKind.UNMATCHED);
    }

    /** Closes the connection after a response for which no request is in flight. */
    private void unexpectedHead(HttpResponse head) {
        if (!UpstreamSocket.hasEnded(context.channel())) {
            ResponseHead read = protocol.read(head);
            reporter.unmatched(read, UnmatchedResponseCause.NO_REQUEST, UnmatchedResponseOutcome.CONNECTION_CLOSED);
        }
        failAsSpoiled();
    }

    /** Counts a head that is not the one of the response. */
    private void headSkipped() {
        if (skipped.skipHead()) {
            failAsSpoiled();
        }
    }

    /** Processes a chunk of a response body. */
    private void content(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            failAsSpoiled();
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (informational || skippingLateResponse) {
            informational &= !last;
            skippingLateResponse &= !last;
            if (skipped.skipBytes(content.content().readableBytes())) {
                failAsSpoiled();
            }
            return;
        }
        if (call == null || answer == null) {
            failAsSpoiled();
            return;
        }
        ByteBuf data = content.content();
        if (data.isReadable() && !call.finished()) {
            call.listener().data(data);
        }
        if (last && call != null) {
            finishOrFail();
        }
    }

    /** Ends the call at the end of its response; without a length, the end may be that of the connection alone. */
    private void finishOrFail() {
        if (framed) {
            finish();
        } else if (!writeFuture.isSuccess()) {
            fail(FailureKind.CUT_WHILE_SENDING);
        } else if (broken || isRelayed() || UpstreamSocket.isReset(context.channel())) {
            fail(FailureKind.CUT);
        } else {
            finish();
        }
    }

    /** Returns the call, which ends. */
    private UpstreamCall takeCall() {
        UpstreamCall taken = call;
        call = null;
        reporter.requestEnded();
        return taken;
    }

    /** Ends the call with a complete response, and keeps the connection if it can be reused. */
    private void finish() {
        UpstreamCall ended = takeCall();
        boolean extraBytes = decoder.holdsPartOfResponse();
        if (extraBytes) {
            reporter.undecoded(UnmatchedResponseCause.NO_REQUEST, UnmatchedResponseOutcome.CONNECTION_CLOSED);
        }
        boolean keep = !notReusable
                && !extraBytes
                && writeFuture.isDone()
                && writeFuture.isSuccess()
                && context.channel().isActive();
        if (keep && !ended.finished()) {
            context.channel().config().setAutoRead(true);
            pool.addIdle(this, answer.keepAliveMillis());
        } else {
            close();
        }
        ended.succeed();
    }

    /** Fails the call and closes the connection after unexpected or malformed bytes. */
    private void failAsSpoiled() {
        fail(FailureKind.SPOILED);
    }

    /** Closes the connection and ends the call without a complete response. */
    private void fail(FailureKind kind) {
        close();
        UpstreamCall ended = takeCall();
        if (ended != null) {
            ended.fail(kind);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        notReusable = true;
        pool.removeIdle(this);
        if (call != null) {
            fail(answer == null ? FailureKind.RESET : FailureKind.CUT);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        notReusable = true;
        if (cause instanceof RuntimeException || cause instanceof Error) {
            pool.processingFailed(cause);
            fail(answer == null ? FailureKind.RESET : FailureKind.CUT);
        }
    }
}
