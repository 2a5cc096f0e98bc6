package org.apricotstack.serving.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.route.CallerLimits;

/** Listens for callers. */
public final class CallerServer implements AutoCloseable {

    /** Longest queue of connections that were not accepted yet; when it is full, callers lose a second or more. */
    private static final int BACKLOG = 1024;

    /** Bytes that may wait for a slow caller before the upstream is not read further. */
    private static final int MAX_UNREAD_BYTES = 64 * 1024;

    /** Time after which unacknowledged bytes end a connection, in milliseconds. */
    private static final int TCP_USER_TIMEOUT_MILLIS = 5_000;

    /** Beyond the configured limit, so that the answer can say that the headers were too long. */
    private static final int HEADER_SLACK_BYTES = 1024;

    private final ServingLoop loop;
    private final CallerProtocol protocol;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final int maxConnections;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listening;
    private boolean stopping;
    private long malformed;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the thread
     * @param protocol reads the requests
     * @param handler answers them
     * @param limits what callers may send, as configured now
     * @param maxConnections connections at the most, so that descriptors do not run out
     */
    public CallerServer(
            ServingLoop loop,
            CallerProtocol protocol,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            int maxConnections) {
        this.loop = loop;
        this.protocol = protocol;
        this.handler = handler;
        this.limits = limits;
        this.maxConnections = maxConnections;
    }

    /**
     * Listens.
     *
     * @param address where; port 0 lets the machine choose
     * @return where it listens
     * @throws ApricotException with {@link ErrorCode#ENVIRONMENT} if the address cannot be used
     */
    public Address listen(Address address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop.group())
                .channel(loop.serverChannel())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNREAD_BYTES / 2, MAX_UNREAD_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                });
        if (loop.serverChannel() == EpollServerSocketChannel.class) {
            bootstrap.childOption(EpollChannelOption.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS);
        }
        try {
            listening = bootstrap
                    .bind(new InetSocketAddress(address.ip(), address.port()))
                    .syncUninterruptibly()
                    .channel();
        } catch (RuntimeException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot listen on " + address + "; end the program that uses it.", e);
        }
        return new Address(address.ip(), ((InetSocketAddress) listening.localAddress()).getPort());
    }

    /** Takes a new connection. */
    private void accept(Channel channel) {
        if (connections.size() >= maxConnections) {
            channel.close();
            return;
        }
        CallerLimits now = limits.get();
        CallerConnection connection = new CallerConnection(this);
        connections.add(connection);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(now.headerBytes())
                .setMaxHeaderSize(now.headerBytes() + HEADER_SLACK_BYTES);
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                connection.bytesReceived();
                                ctx.fireChannelRead(message);
                            }
                        },
                        new StrictRequestDecoder(config),
                        new HttpResponseEncoder(),
                        connection);
    }

    /** Ends what callers take too long for. */
    public void closeTimedOut() {
        long now = loop.nowMillis();
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.closeTimedOut(now);
        }
    }

    /** Lets each answer end its connection from now on. */
    public void beginStop() {
        stopping = true;
    }

    /** Closes connections on which no request is due. */
    public void closeIdle() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Takes no new connections any more. */
    public void stopListening() {
        if (listening != null) {
            listening.close();
        }
    }

    /** Forgets a connection. */
    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Counts a request that is not proper. */
    void countMalformed() {
        malformed++;
    }

    /**
     * Returns how many requests were not proper.
     *
     * @return requests since the start
     */
    public long malformedRequests() {
        return malformed;
    }

    /** Tells whether answers end their connections. */
    boolean stopping() {
        return stopping;
    }

    /** Returns what callers may send. */
    CallerLimits limits() {
        return limits.get();
    }

    /** Returns what reads requests. */
    CallerProtocol protocol() {
        return protocol;
    }

    /** Returns what answers requests. */
    CallerHandler handler() {
        return handler;
    }

    /** Reads the clock. */
    long nowMillis() {
        return loop.nowMillis();
    }

    /** Runs something later. */
    void schedule(long delayMillis, Runnable task) {
        loop.schedule(delayMillis, task);
    }

    @Override
    public void close() {
        stopListening();
    }
}
