package org.apricotstack.serving.gossip;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/**
 * The gossip stream to one other router.
 *
 * <p>A connection can stall for good without a reset. Each heartbeat is answered; a connection without a reply for
 * {@link #SILENT_MILLIS} is closed, and the next heartbeat opens another one.
 *
 * <p>Updates that cannot be sent at once are not queued. That alone would lose the ends of placements that the peer
 * knows while a connection is being opened, so that they stay in its load table until their time limits: in a
 * simulated day a restarted router counted 70 placements where 40 were in flight, for eight seconds. So a stream that
 * missed an update sends all in-flight placements as soon as it can send again, and the peer drops the rest.
 */
final class OutboundGossipStream implements GossipStream {

    /** Time without a byte after which the connection is closed, in milliseconds. */
    private static final long SILENT_MILLIS = 1_800;

    /** Time without a byte after which the rest of a reply is not waited for, in milliseconds. */
    private static final long INTERRUPTED_MILLIS = 500;

    /** Longest time for which other peers are not asked while a reply arrives, in milliseconds. */
    private static final long MAX_RECEIVING_MILLIS = 4_000;

    /** Number of heartbeats without a byte that have the same effect in a large fleet. */
    private static final long SILENT_HEARTBEATS = 3;

    /** Shortest time between two connection attempts, in milliseconds, so that a dead host costs little. */
    private static final long MIN_RECONNECT_INTERVAL_MILLIS = 300;

    private final ServingLoop loop;
    private final Address address;
    private final GossipHandler handler;
    private final Supplier<NewsFrame> fullState;
    private final Runnable onClosed;
    private long silenceTimeoutMillis = SILENT_MILLIS;
    private Channel channel;
    private EncodedFrame greeting;
    private NewsFrame pendingRequest;
    private long lastConnectMillis = Long.MIN_VALUE / 2;
    private long lastArrivalMillis;
    private long replyBegunMillis;
    private boolean replyBegun;
    private boolean outOfSync = true;

    /** Creates a stream that is not open. */
    OutboundGossipStream(
            ServingLoop loop,
            Address address,
            GossipHandler handler,
            Supplier<NewsFrame> fullState,
            Runnable onClosed) {
        this.loop = loop;
        this.address = address;
        this.handler = handler;
        this.fullState = fullState;
        this.onClosed = onClosed;
    }

    /** Returns the address of the peer. */
    Address address() {
        return address;
    }

    @Override
    public void heartbeat(EncodedFrame frame, long nextMillis) {
        silenceTimeoutMillis = Math.max(SILENT_MILLIS, SILENT_HEARTBEATS * nextMillis);
        long now = loop.nowMillis();
        if (channel != null && now - lastArrivalMillis > silenceTimeoutMillis) {
            disconnect();
        }
        if (channel == null && now - lastConnectMillis >= MIN_RECONNECT_INTERVAL_MILLIS) {
            greeting = frame;
            connect(now);
        } else if (isConnected()) {
            write(frame);
            syncIfNeeded();
        }
    }

    @Override
    public boolean send(EncodedFrame frame) {
        boolean open = isOpen();
        if (open) {
            syncIfNeeded();
            write(frame);
        } else {
            outOfSync = true;
        }
        return open;
    }

    @Override
    public void markOutOfSync() {
        outOfSync = true;
    }

    /** Sends the full state if the peer missed an update. */
    private void syncIfNeeded() {
        if (outOfSync && isOpen()) {
            outOfSync = false;
            write(EncodedFrame.of(fullState.get()));
        }
    }

    /** Returns whether the connection is established. */
    private boolean isConnected() {
        return channel != null && channel.isActive();
    }

    @Override
    public boolean isOpen() {
        return isConnected() && channel.isWritable();
    }

    @Override
    public boolean fetch(EncodedFrame heartbeat, NewsFrame request) {
        heartbeat(heartbeat, 0);
        if (isConnected()) {
            write(EncodedFrame.of(request));
        } else {
            pendingRequest = request;
        }
        return channel != null;
    }

    @Override
    public boolean isReceiving() {
        long now = loop.nowMillis();
        return replyBegun
                && isConnected()
                && now - lastArrivalMillis < INTERRUPTED_MILLIS
                && now - replyBegunMillis < MAX_RECEIVING_MILLIS;
    }

    /** Sends a frame; a failed write closes the connection, which its handler notices. */
    private void write(EncodedFrame frame) {
        channel.writeAndFlush(frame.buffer(), channel.voidPromise());
    }

    /** Opens a connection. */
    private void connect(long now) {
        lastConnectMillis = now;
        lastArrivalMillis = now;
        replyBegun = false;
        outOfSync = true;
        ChannelFuture connecting = new Bootstrap()
                .group(loop.group())
                .channel(loop.clientChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(GossipFraming.initializer(NewsReply.getDefaultInstance(), Arrivals::new, Replies::new))
                .connect(new InetSocketAddress(address.ip(), address.port()));
        Channel opened = connecting.channel();
        channel = opened;
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                connectionClosed(opened);
            }
        });
    }

    /** Sends the first heartbeat, and the document request that was made while the connection was being opened. */
    private void onConnected() {
        write(greeting);
        if (pendingRequest != null) {
            write(EncodedFrame.of(pendingRequest));
            pendingRequest = null;
        }
        syncIfNeeded();
    }

    /** Drops a closed connection if it is still the current one. */
    private void connectionClosed(Channel closed) {
        if (channel == closed) {
            disconnect();
            onClosed.run();
        }
    }

    /** Closes the connection. */
    private void disconnect() {
        Channel dropped = channel;
        channel = null;
        pendingRequest = null;
        outOfSync = true;
        if (dropped != null) {
            dropped.close();
        }
    }

    @Override
    public void close() {
        disconnect();
    }

    /** Records that bytes have arrived, also those of a large reply that is not complete. */
    private final class Arrivals extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (channel == context.channel()) {
                lastArrivalMillis = loop.nowMillis();
                if (!replyBegun) {
                    replyBegun = true;
                    replyBegunMillis = lastArrivalMillis;
                }
            }
            context.fireChannelRead(message);
        }
    }

    /** Receives the replies of the peer. */
    private final class Replies extends SimpleChannelInboundHandler<NewsReply> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                onConnected();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, NewsReply reply) {
            if (channel == context.channel()) {
                replyBegun = false;
                handler.reply(reply, address.toString());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                syncIfNeeded();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connectionClosed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset, or bytes that cannot be parsed; either way the connection is closed and another one follows.
            context.close();
        }
    }
}
