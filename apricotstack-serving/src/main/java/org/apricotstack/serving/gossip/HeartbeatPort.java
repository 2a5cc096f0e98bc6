package org.apricotstack.serving.gossip;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;

/**
 * Sends and receives heartbeats and permit requests as datagrams, so that a large fleet needs no connection between
 * each pair of routers.
 *
 * <p>A datagram may be lost; the next heartbeat makes up for it. What must arrive goes over an {@link
 * OutboundGossipStream}.
 */
public final class HeartbeatPort implements DatagramPort, AutoCloseable {

    private final Channel channel;
    private BiConsumer<NewsFrame, Address> listener = (frame, sender) -> {};
    private long malformed;

    /**
     * Binds the UDP port with the same number as the TCP port for gossip streams.
     *
     * @param loop the event loop
     * @param address the address to bind
     * @throws ApricotException with {@link ErrorCode#ENVIRONMENT} if the address cannot be used
     */
    public HeartbeatPort(ServingLoop loop, Address address) {
        ChannelFuture bound = new Bootstrap()
                .group(loop.group())
                .channel(loop.datagramChannel())
                .handler(new Receiver())
                .bind(new InetSocketAddress(address.ip(), address.port()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "Cannot receive datagrams on " + address + "; end the program that uses it.",
                    bound.cause());
        }
        channel = bound.channel();
    }

    @Override
    public void onFrame(BiConsumer<NewsFrame, Address> newListener) {
        listener = newListener;
    }

    @Override
    public void send(Address address, EncodedFrame frame) {
        channel.writeAndFlush(
                new DatagramPacket(frame.buffer(), new InetSocketAddress(address.ip(), address.port())),
                channel.voidPromise());
    }

    /**
     * Returns the bound address.
     *
     * @return the address, with the port that the system chose if none was given
     */
    public Address address() {
        InetSocketAddress local = (InetSocketAddress) channel.localAddress();
        return new Address(local.getAddress().getHostAddress(), local.getPort());
    }

    /**
     * Returns the number of datagrams that could not be parsed.
     *
     * @return datagrams since the start
     */
    public long malformed() {
        return malformed;
    }

    @Override
    public void close() {
        channel.close();
    }

    /** Parses datagrams. */
    @ChannelHandler.Sharable
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                InetSocketAddress sender = packet.sender();
                Address from = new Address(sender.getAddress().getHostAddress(), sender.getPort());
                listener.accept(NewsFrame.parseFrom(packet.content().nioBuffer()), from);
            } catch (InvalidProtocolBufferException e) {
                malformed++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // For a dead host the kernel reports an error on the socket that sent the datagram. Its missing
            // heartbeats reveal the failure; this port keeps serving all others.
        }
    }
}
