package org.apricotstack.serving.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;

/** Closes a connection after its last response. */
final class LingeringClose {

    /**
     * Time for which a connection keeps reading after the last response, in milliseconds; an earlier close could reset
     * it before the caller has read the response.
     */
    private static final long LINGER_MILLIS = 500;

    private LingeringClose() {}

    /** Shuts down the output once all is written, and closes the connection after a delay. */
    static void begin(ChannelHandlerContext context, CallerServer server) {
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
}
