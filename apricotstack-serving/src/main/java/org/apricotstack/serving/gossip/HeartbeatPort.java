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
 * Sends and takes heartbeats, and questions for permits, as datagrams, so that a large fleet needs no connection
 * between any two of its routers.
 *
 * <p>A datagram may be lost; the next heartbeat makes up for it. What must arrive goes over an
 * {@link OutboundGossipStream}.
 */
public final class HeartbeatPort implements AutoCloseable {

    private final Channel channel;
    private BiConsumer<NewsFrame, Address> taker = (frame, sender) -> {};
    private long malformed;

    /**
     * Listens on the port on which streams of news are taken too.
     *
     * @param loop the thread
     * @param address where
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
                    "Cannot take datagrams on " + address + "; end the program that uses it.",
                    bound.cause());
        }
        channel = bound.channel();
    }

    /** Sets who takes datagrams and where they came from; called on the event loop. */
    void take(BiConsumer<NewsFrame, Address> newTaker) {
        taker = newTaker;
    }

    /** Sends a heartbeat. */
    void send(Address address, EncodedFrame frame) {
        channel.writeAndFlush(
                new DatagramPacket(frame.buffer(), new InetSocketAddress(address.ip(), address.port())),
                channel.voidPromise());
    }

    /**
     * Returns where it listens.
     *
     * @return the address, with the port that was chosen
     */
    public Address address() {
        InetSocketAddress local = (InetSocketAddress) channel.localAddress();
        return new Address(local.getAddress().getHostAddress(), local.getPort());
    }

    /**
     * Returns how many datagrams were no heartbeats.
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

    /** Reads datagrams. */
    @ChannelHandler.Sharable
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                InetSocketAddress sender = packet.sender();
                Address from = new Address(sender.getAddress().getHostAddress(), sender.getPort());
                taker.accept(NewsFrame.parseFrom(packet.content().nioBuffer()), from);
            } catch (InvalidProtocolBufferException e) {
                malformed++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A host that is gone makes the kernel report an error for the datagram that was sent to it. Its silence is
            // noticed by its missing heartbeats; the port goes on serving all others.
        }
    }
}
