package org.apricotstack.serving.gossip;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.DecoderException;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ReadPacing;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.apricotstack.serving.relay.RelayServer;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Accepts the gossip streams of other routers, and the connections that they ask this one to relay. */
public final class GossipServer implements AutoCloseable {

    private static final byte[] EMPTY_REPLY = {};

    /** Maximum number of bytes that the kernel takes before it has sent them, so that the end of a reply is known. */
    private static final long MAX_UNSENT_BYTES = 64 * 1024;

    private final ServingLoop loop;
    private final GossipHandler handler;
    private final Channel listening;
    private final ChannelGroup streams;
    private final ControlConnections connections;
    private final LargeReplies largeReplies = new LargeReplies();
    private long malformed;

    /**
     * Starts listening.
     *
     * @param loop the event loop
     * @param address the address to listen on
     * @param handler receives the frames
     * @param relays serves the connections that are to be relayed to upstreams
     * @param maxConnections maximum of open connections; the longest idle one is closed for a new one beyond it
     * @param onClose receives why a connection is closed
     * @throws ApricotException with {@link ErrorCode#ENVIRONMENT} if the address cannot be used
     */
    public GossipServer(
            ServingLoop loop,
            Address address,
            GossipHandler handler,
            RelayServer relays,
            int maxConnections,
            Consumer<ConnectionCloseCause> onClose) {
        this.loop = loop;
        this.handler = handler;
        connections = new ControlConnections(loop, maxConnections, onClose);
        streams = new DefaultChannelGroup(loop.loop());
        ChannelFuture bound = new ServerBootstrap()
                .group(loop.group())
                .channel(loop.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel, relays);
                    }
                })
                .bind(new InetSocketAddress(address.ip(), address.port()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "Cannot listen on " + address + "; end the program that uses it.",
                    bound.cause());
        }
        listening = bound.channel();
    }

    /** Sets up a new connection. */
    private void accept(Channel channel, RelayServer relays) {
        ControlConnection connection = connections.accept(channel);
        if (connection == null) {
            channel.close();
            return;
        }
        ReadPacing.install(channel);
        if (channel instanceof EpollSocketChannel) {
            channel.config().setOption(EpollChannelOption.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES);
        }
        channel.pipeline().addLast(new ConnectionKindDetector(relays, connection));
        GossipFraming.addHandlers(channel, NewsFrame.getDefaultInstance(), new Receiver(connection));
    }

    /** Closes connections that are idle for too long, or whose first message does not arrive in time. */
    public void closeTimedOut() {
        connections.closeTimedOut();
    }

    /**
     * Returns the port.
     *
     * @return the port that it listens on
     */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /**
     * Returns the number of streams that were closed because of bytes that could not be parsed.
     *
     * @return streams since the start
     */
    public long malformed() {
        return malformed;
    }

    @Override
    public void close() {
        listening.close();
        streams.close();
    }

    /** Receives one stream. */
    private final class Receiver extends SimpleChannelInboundHandler<NewsFrame> {

        private final InboundGossipStream stream = new InboundGossipStream();
        private final ControlConnection connection;

        private Receiver(ControlConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            streams.add(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, NewsFrame frame) {
            connection.used();
            handler.frame(frame, stream);
            if (!frame.hasDocuments()) {
                if (frame.hasHeartbeat()) {
                    context.write(Unpooled.wrappedBuffer(EMPTY_REPLY), context.voidPromise());
                }
            } else if (context.channel().isWritable()) {
                // Otherwise a peer that does not read its replies would fill the memory with documents; it asks again
                // later.
                send(context, handler.documents(frame.getDocuments()));
            }
        }

        /** Sends documents, unless too many large replies are being sent. */
        private void send(ChannelHandlerContext context, NewsReply reply) {
            int bytes = reply.getSerializedSize();
            long begunMillis = loop.nowMillis();
            if (largeReplies.begin(bytes, begunMillis)) {
                context.write(Unpooled.wrappedBuffer(reply.toByteArray()))
                        .addListener(done -> largeReplies.end(bytes, begunMillis));
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                malformed++;
            }
            // A reset needs no further handling: missing heartbeats reveal that the peer is silent.
            context.close();
        }
    }
}
