package org.apricotstack.serving.gossip;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/**
 * The stream of news to one other router.
 *
 * <p>A connection can go silent for good without a reset. Each heartbeat is answered; a stream whose answers stay away
 * for {@link #SILENT_MILLIS} is given up with its connection, and the next heartbeat opens another.
 *
 * <p>News that cannot be sent at once are not kept. What goes wrong without more: while a connection is being made, the
 * ends of placements that the peer is told of are lost, and stay on its board until their time limits. On a played day
 * a router that had been restarted counted 70 placements where 40 were open, for eight seconds. So a link that missed
 * something sends all that is open as soon as it can send again, and the peer forgets the rest.
 */
final class OutboundGossipStream implements AutoCloseable {

    /** Time without an answer after which the connection is given up, in milliseconds. */
    private static final long SILENT_MILLIS = 1_800;

    /** Heartbeats without an answer that have the same effect in a large fleet. */
    private static final long SILENT_BEATS = 3;

    /** Time between two connections, in milliseconds, so that a dead host costs little. */
    private static final long REOPEN_MILLIS = 300;

    private final ServingLoop loop;
    private final Address address;
    private final GossipHandler sink;
    private final Supplier<NewsFrame> allNews;
    private final Runnable whenEnded;
    private long silentMillis = SILENT_MILLIS;
    private Channel channel;
    private EncodedFrame greeting;
    private NewsFrame question;
    private long openedMillis = Long.MIN_VALUE / 2;
    private long heardMillis;
    private boolean missed = true;

    /** Creates a link that is not open. */
    OutboundGossipStream(
            ServingLoop loop, Address address, GossipHandler sink, Supplier<NewsFrame> allNews, Runnable whenEnded) {
        this.loop = loop;
        this.address = address;
        this.sink = sink;
        this.allNews = allNews;
        this.whenEnded = whenEnded;
    }

    /** Returns where it leads. */
    Address address() {
        return address;
    }

    /** Sends a heartbeat, and opens the stream first if there is none; the next one follows after a time. */
    void heartbeat(EncodedFrame frame, long nextMillis) {
        silentMillis = Math.max(SILENT_MILLIS, SILENT_BEATS * nextMillis);
        long now = loop.nowMillis();
        if (channel != null && now - heardMillis > silentMillis) {
            drop();
        }
        if (channel == null && now - openedMillis >= REOPEN_MILLIS) {
            greeting = frame;
            open(now);
        } else if (isConnected()) {
            write(frame);
            catchUp();
        }
    }

    /** Sends news and tells whether a stream took them; lost ones are not kept, as they would be old later. */
    boolean send(EncodedFrame frame) {
        boolean open = isOpen();
        if (open) {
            catchUp();
            write(frame);
        } else {
            missed = true;
        }
        return open;
    }

    /** Notes that news were not for this peer, so that it has to be told of all that is open before the next ones. */
    void skip() {
        missed = true;
    }

    /** Tells the peer of all that is open if it missed something. */
    private void catchUp() {
        if (missed && isOpen()) {
            missed = false;
            write(EncodedFrame.of(allNews.get()));
        }
    }

    /** Tells whether the connection stands. */
    private boolean isConnected() {
        return channel != null && channel.isActive();
    }

    /** Tells whether news can be sent. */
    boolean isOpen() {
        return isConnected() && channel.isWritable();
    }

    /** Asks for documents; opens the stream first if there is none, or if nothing was heard on it for long. */
    boolean ask(EncodedFrame heartbeat, NewsFrame request) {
        heartbeat(heartbeat, 0);
        if (isConnected()) {
            write(EncodedFrame.of(request));
        } else {
            question = request;
        }
        return channel != null;
    }

    /** Sends bytes; one that fails ends the connection, which is noticed there. */
    private void write(EncodedFrame frame) {
        channel.writeAndFlush(frame.buffer(), channel.voidPromise());
    }

    /** Opens a connection. */
    private void open(long now) {
        openedMillis = now;
        heardMillis = now;
        missed = true;
        ChannelFuture connecting = new Bootstrap()
                .group(loop.group())
                .channel(loop.clientChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(GossipFraming.initializer(NewsReply.getDefaultInstance(), Replies::new))
                .connect(new InetSocketAddress(address.ip(), address.port()));
        Channel mine = connecting.channel();
        channel = mine;
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                ended(mine);
            }
        });
    }

    /** Says who this router is, and what was asked while the connection was being made. */
    private void opened() {
        write(greeting);
        if (question != null) {
            write(EncodedFrame.of(question));
            question = null;
        }
        catchUp();
    }

    /** Gives a connection up if it is still the one in use. */
    private void ended(Channel one) {
        if (channel == one) {
            drop();
            whenEnded.run();
        }
    }

    /** Gives the connection up. */
    private void drop() {
        Channel dropped = channel;
        channel = null;
        question = null;
        missed = true;
        if (dropped != null) {
            dropped.close();
        }
    }

    @Override
    public void close() {
        drop();
    }

    /** Takes what the peer answers. */
    private final class Replies extends SimpleChannelInboundHandler<NewsReply> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                opened();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, NewsReply reply) {
            if (channel == context.channel()) {
                heardMillis = loop.nowMillis();
                sink.reply(reply, address.toString());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                catchUp();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Reset, or bytes that are no answer; either way the connection ends and another one follows.
            context.close();
        }
    }
}
