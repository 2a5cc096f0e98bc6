package org.apricotstack.serving.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
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
import org.apricotstack.serving.observe.ConnectionCloseCause;

/** HTTP server for callers. */
public final class CallerServer implements AutoCloseable {

    /**
     * Maximum of connections that wait to be accepted; while this backlog is full, a caller's connection attempt takes
     * a second or more.
     */
    private static final int BACKLOG = 1024;

    /** Bytes that may be buffered for a slow caller before reading from the upstream pauses. */
    private static final int MAX_UNREAD_BYTES = 64 * 1024;

    /** Time after which a connection with unacknowledged bytes is closed, in milliseconds. */
    private static final int TCP_USER_TIMEOUT_MILLIS = 5_000;

    /** Bytes of a request line or headers that are decoded at least; {@link RequestHeadCheck} applies the limits. */
    private static final int DECODED_HEADER_BYTES = 64 * 1024;

    /** Number of reads from a connection before others get their turn. */
    private static final int MAX_READS_PER_TURN = 16;

    private final ServingLoop loop;
    private final CallerProtocol protocol;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final ConnectionMaximum maximum;
    private final ConnectionCloseObserver observer;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final IdleConnections idle = new IdleConnections();
    private Channel listenChannel;
    private boolean stopping;
    private boolean closesIdle;
    private long malformed;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop
     * @param protocol parses the requests
     * @param handler handles the requests
     * @param limits the configured limits for callers that are in force
     * @param maxConnections maximum of open connections; the longest idle one is closed for a new one beyond it
     */
    public CallerServer(
            ServingLoop loop,
            CallerProtocol protocol,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            int maxConnections) {
        this(loop, protocol, handler, limits, maxConnections, ConnectionCloseObserver.NONE);
    }

    /**
     * Creates a server that does not listen yet and reports the connections that it closes.
     *
     * @param loop the event loop
     * @param protocol parses the requests
     * @param handler handles the requests
     * @param limits the configured limits for callers that are in force
     * @param maxConnections maximum of open connections; the longest idle one is closed for a new one beyond it
     * @param observer records the connections that are closed
     */
    public CallerServer(
            ServingLoop loop,
            CallerProtocol protocol,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            int maxConnections,
            ConnectionCloseObserver observer) {
        this.observer = observer;
        this.loop = loop;
        this.protocol = protocol;
        this.handler = handler;
        this.limits = limits;
        this.maximum = new ConnectionMaximum(maxConnections);
    }

    /**
     * Starts to listen.
     *
     * @param address the address; port 0 selects a free port
     * @return the address with the actual port
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
                // Reads until nothing is left, so that the close of a caller is read together with its request.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_TURN))
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
            listenChannel = bootstrap
                    .bind(new InetSocketAddress(address.ip(), address.port()))
                    .syncUninterruptibly()
                    .channel();
        } catch (RuntimeException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot listen on " + address + "; stop the program that uses it.", e);
        }
        return new Address(address.ip(), ((InetSocketAddress) listenChannel.localAddress()).getPort());
    }

    /** Sets up a new connection. */
    private void accept(Channel channel) {
        if (!makeRoom()) {
            observer.closed(new ConnectionClose(
                    ConnectionCloseCause.TOO_MANY_CONNECTIONS,
                    RequestStage.IDLE,
                    null,
                    CloseReporter.ipOf(channel),
                    null));
            channel.close();
            return;
        }
        CallerConnection connection = new CallerConnection(this);
        connections.add(connection);
        idle.add(connection);
        int headerBytes =
                Math.max(DECODED_HEADER_BYTES, limits.get().headerBytes() + RequestHeadCheck.HEADER_SLACK_BYTES);
        HttpDecoderConfig config =
                new HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes);
        StrictRequestDecoder decoder = new StrictRequestDecoder(config, connection::headBegun);
        connection.decoder(decoder);
        ReadPacing.install(channel);
        channel.pipeline()
                .addLast(decoder, ReadPacing.counter(), new HttpResponseEncoder(), new DeferredFlush(), connection);
    }

    /** Returns whether a connection can be accepted, for which the longest idle one may have to be closed. */
    private boolean makeRoom() {
        int open = connections.size();
        return maximum.hasRoom(open, idle.leaving()) || maximum.mayReplace(open) && idle.closeLongestIdle();
    }

    /** Closes connections whose timeout for receiving a request has passed. */
    public void closeTimedOut() {
        long now = loop.nowMillis();
        for (CallerConnection connection : List.copyOf(connections)) {
            loop.run(() -> connection.closeTimedOut(now));
        }
    }

    /** Closes each connection after its next response from now on. */
    public void beginStop() {
        stopping = true;
    }

    /** Closes connections without a request in flight, and from now on each one that becomes idle. */
    public void closeIdle() {
        closesIdle = true;
        for (CallerConnection connection : List.copyOf(connections)) {
            loop.run(() -> connection.closeIfIdle(ConnectionCloseCause.IDLE_AT_STOP));
        }
    }

    /**
     * Returns the number of connections on which a request has begun to arrive, a response is not written yet, or what
     * has arrived is still being read before they are closed as idle.
     *
     * @return connections that must not be closed yet
     */
    public int unsettled() {
        return (int) connections.stream().filter(CallerConnection::isUnsettled).count();
    }

    /** Stops accepting connections. */
    public void stopListening() {
        if (listenChannel != null) {
            listenChannel.close();
        }
    }

    /** Removes a closed connection. */
    void closed(CallerConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
    }

    /** Records that the last response on a connection is written; closes it if idle connections are closed. */
    void becameIdle(CallerConnection connection) {
        idle.add(connection);
        if (closesIdle) {
            connection.closeIfIdle(ConnectionCloseCause.IDLE_AT_STOP);
        }
    }

    /** Records that a request has begun to arrive on a connection. */
    void becameBusy(CallerConnection connection) {
        idle.remove(connection);
    }

    /** Counts a malformed request. */
    void countMalformed() {
        malformed++;
    }

    /**
     * Returns the number of malformed requests.
     *
     * @return requests since the start
     */
    public long malformedRequests() {
        return malformed;
    }

    /** Returns whether connections are closed after their next response. */
    boolean stopping() {
        return stopping;
    }

    /** Returns whether a connection is to be closed if it is idle. */
    boolean closesIdle(CallerConnection connection) {
        return closesIdle || idle.isLeaving(connection);
    }

    /** Returns the limits for callers. */
    CallerLimits limits() {
        return limits.get();
    }

    /** Returns the protocol that parses requests. */
    CallerProtocol protocol() {
        return protocol;
    }

    /** Returns the handler of requests. */
    CallerHandler handler() {
        return handler;
    }

    /** Returns what records the connections that are closed. */
    ConnectionCloseObserver observer() {
        return observer;
    }

    /** Returns the time of the loop's clock, in milliseconds. */
    long nowMillis() {
        return loop.nowMillis();
    }

    /** Runs a task after a delay in milliseconds. */
    void schedule(long delayMillis, Runnable task) {
        loop.schedule(delayMillis, task);
    }

    @Override
    public void close() {
        stopListening();
    }
}
