package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.upstream.FailureKind;

/**
 * One connection to an upstream; carries one request at a time.
 *
 * <p>What goes wrong: an answer to an earlier request comes where the next one is due, bytes follow a whole answer, an
 * answer without a length ends with a reset. The echoed id tells a foreign answer apart, which is skipped; after
 * anything odd the connection is never used again.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

    private final UpstreamConnections owner;
    private final Address address;
    private ChannelHandlerContext context;
    private UpstreamCall call;
    private ResponseHead answer;
    private boolean skippingLateResponse;
    private boolean informational;
    private boolean framed;
    private boolean notReusable;
    private boolean broken;
    private ChannelFuture written;
    private long keepUntilMillis;

    /** Creates a connection that is being opened. */
    UpstreamConnection(UpstreamConnections owner, Address address) {
        this.owner = owner;
        this.address = address;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns where it leads. */
    Address address() {
        return address;
    }

    /** Notes until when it may be used again. */
    void keepUntil(long millis) {
        keepUntilMillis = millis;
    }

    /** Tells whether a request may be sent. */
    boolean usable(long nowMillis) {
        return context.channel().isActive() && !notReusable && call == null && nowMillis < keepUntilMillis;
    }

    /** Sends a request. */
    void start(UpstreamCall next) {
        call = next;
        answer = null;
        skippingLateResponse = false;
        next.attachTo(this);
        context.write(next.head());
        written = context.writeAndFlush(new DefaultLastHttpContent(next.takeBody()));
        written.addListener(done -> {
            if (!done.isSuccess()) {
                broken = true;
                context.close();
            }
        });
    }

    /** Stops or resumes reading. */
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

    /** Takes the beginning of an answer. */
    private void head(HttpResponse head) {
        if (head.decoderResult().isFailure() || call == null) {
            failAsSpoiled();
            return;
        }
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        ResponseHead read = call.protocol().read(head);
        skippingLateResponse = !call.isAnsweredBy(read);
        framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (skippingLateResponse) {
            notReusable = true;
            call.listener().lateResponse(read);
            return;
        }
        answer = read;
        notReusable |= read.closesConnection() || !framed;
        call.listener().head(read, head);
    }

    /** Takes a piece of a body. */
    private void content(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            failAsSpoiled();
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (informational || skippingLateResponse) {
            informational &= !last;
            skippingLateResponse &= !last;
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
            if (broken && !framed) {
                fail(FailureKind.CUT);
            } else {
                finish();
            }
        }
    }

    /** Ends the call with a whole answer and keeps the connection if it is good. */
    private void finish() {
        UpstreamCall ended = call;
        call = null;
        boolean keep = !notReusable
                && written.isDone()
                && written.isSuccess()
                && context.channel().isActive();
        if (keep && !ended.finished()) {
            context.channel().config().setAutoRead(true);
            owner.keep(this, answer.keepAliveMillis());
        } else {
            close();
        }
        ended.succeed();
    }

    /** Ends everything after bytes that do not belong here. */
    private void failAsSpoiled() {
        fail(FailureKind.SPOILED);
    }

    /** Ends the call without a whole answer and closes. */
    private void fail(FailureKind kind) {
        close();
        UpstreamCall ended = call;
        call = null;
        if (ended != null) {
            ended.fail(kind);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        notReusable = true;
        owner.forget(this);
        if (call != null) {
            fail(answer == null ? FailureKind.RESET : FailureKind.CUT);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        notReusable = true;
    }
}
