package org.apricotstack.serving.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.DuplexChannel;

/** What the kernel knows of the end of a connection to an upstream. */
final class UpstreamSocket {

    /**
     * Maximum number of bytes that the kernel takes before it has sent them, so that a request that an upstream does
     * not read is known not to be written.
     */
    private static final long MAX_UNSENT_BYTES = 16 * 1024;

    /** State of a connection that was reset, also after its orderly end (TCP_CLOSE of Linux). */
    private static final int TCP_CLOSE = 7;

    private UpstreamSocket() {}

    /**
     * Lets a connection tell the end of the upstream's sending side from its own, and stay open for reading after a
     * failed write: the upstream may have answered before it reset the connection.
     */
    static void configure(Channel channel) {
        channel.config().setAutoClose(false);
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        if (channel instanceof EpollSocketChannel) {
            channel.config().setOption(EpollChannelOption.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES);
        }
    }

    /** Returns whether the upstream has ended its sending side, or the connection. */
    static boolean hasEnded(Channel channel) {
        return !channel.isActive() || channel instanceof DuplexChannel duplex && duplex.isInputShutdown();
    }

    /** Returns whether the connection was reset after the orderly end of the upstream's sending side. */
    static boolean isReset(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket) || !socket.isOpen()) {
            return false;
        }
        try {
            return socket.tcpInfo().state() == TCP_CLOSE;
        } catch (ChannelException e) {
            return false;
        }
    }
}
