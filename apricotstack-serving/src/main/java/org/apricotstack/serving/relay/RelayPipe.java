package org.apricotstack.serving.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/**
 * Forwards the bytes of one channel to another one, no faster than that one is read. The other one is closed with this
 * one, and reset if this one is reset: the end of a connection may be the end of a response.
 */
final class RelayPipe extends ChannelInboundHandlerAdapter {

    private final Channel other;
    private final Runnable onBytes;
    private boolean reset;

    /** Creates a pipe to another channel; the action runs whenever bytes are forwarded. */
    RelayPipe(Channel other, Runnable onBytes) {
        this.other = other;
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        onBytes.run();
        other.write(message, other.voidPromise());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        other.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        other.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (reset) {
            other.config().setOption(ChannelOption.SO_LINGER, 0);
            other.close();
        } else {
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
