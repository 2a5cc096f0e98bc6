package org.apricotstack.adapters.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.http.HeadViolation;
import org.apricotstack.core.http.ResponseHeadSyntax;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Closes connections on which a response has a head that violates HTTP, as the client's decoder repairs such heads.
 *
 * <p>While a head is expected, the decoder gets the bytes line by line, so that it has passed on the head before the
 * first byte of the body.
 */
public final class ResponseHeadGuard extends ChannelInboundHandlerAdapter {

    private static final String PROGRESS = "response-progress";

    private final ResponseHeadSyntax syntax = new ResponseHeadSyntax();
    private boolean inBody;

    private ResponseHeadGuard() {}

    /**
     * Guards all connections of a client.
     *
     * @param client the client
     * @return the client with the guard
     */
    public static HttpClient guard(HttpClient client) {
        return client.doOnChannelInit((observer, channel, address) -> install(channel));
    }

    /** Adds the guard to a new connection. */
    private static void install(Channel channel) {
        ResponseHeadGuard guard = new ResponseHeadGuard();
        channel.pipeline().addBefore(NettyPipeline.HttpCodec, ResponseHeadGuard.class.getSimpleName(), guard);
        channel.pipeline().addAfter(NettyPipeline.HttpCodec, PROGRESS, guard.new Progress());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        try {
            while (bytes.isReadable()) {
                if (!read(context, bytes)) {
                    return;
                }
            }
        } finally {
            bytes.release();
        }
    }

    /** Passes on the next line of a head, or all that is left of a body; returns whether it is valid. */
    private boolean read(ChannelHandlerContext context, ByteBuf bytes) {
        int count = inBody ? bytes.readableBytes() : lineBytes(bytes);
        if (!inBody) {
            HeadViolation violation = violation(bytes, count);
            if (violation != null) {
                context.fireExceptionCaught(new ApricotException(
                        ErrorCode.UPSTREAM_PROTOCOL,
                        "The head of the response violates HTTP (" + violation.code() + "); correct the upstream."));
                context.close();
                return false;
            }
        }
        context.fireChannelRead(bytes.readRetainedSlice(count));
        return true;
    }

    /** Returns the number of bytes up to the end of the line, or of all bytes. */
    private static int lineBytes(ByteBuf bytes) {
        int length = bytes.bytesBefore((byte) '\n');
        return length < 0 ? bytes.readableBytes() : length + 1;
    }

    /** Returns how the next bytes of a head violate HTTP; {@code null} if they do not. */
    private HeadViolation violation(ByteBuf bytes, int count) {
        if (syntax.isComplete()) {
            return HeadViolation.OTHER;
        }
        for (int i = 0; i < count; i++) {
            HeadViolation violation = syntax.read(bytes.getByte(bytes.readerIndex() + i));
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }

    /** Records what the decoder has passed on. */
    private final class Progress extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse) {
                inBody = true;
            }
            if (message instanceof LastHttpContent) {
                inBody = false;
                syntax.reset();
            }
            context.fireChannelRead(message);
        }
    }
}
