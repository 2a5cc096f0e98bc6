package org.apricotstack.serving.http;

import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.upstream.FailureKind;
import reactor.core.publisher.Mono;

/**
 * Connections to upstreams and to the platform, kept open between requests.
 *
 * <p>A kept connection can be dead without anyone having said so. Requests that must not run twice therefore ask for a
 * new one: if a kept one were reset, nobody could tell whether the request ran.
 */
public final class UpstreamConnections {

    /** Time to connect, in milliseconds; data centres are a few milliseconds apart, a lost packet costs a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 450;

    /**
     * Time in which a host whose process has ended refuses a connection, in milliseconds; one that does not answer so
     * soon is cut off or without power.
     */
    private static final int REFUSAL_TIMEOUT_MILLIS = 60;

    /** Time after which unacknowledged bytes end a connection, in milliseconds. */
    private static final int TCP_USER_TIMEOUT_MILLIS = 3_000;

    /** Time for which a connection is kept if the upstream does not say, in milliseconds. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    /** Taken off the time that the upstream says, in milliseconds, so that it does not close what is just used. */
    private static final long IDLE_MARGIN_MILLIS = 600;

    /** Longest status line and header of an answer, in bytes. */
    private static final int HEADER_BYTES = 32 * 1024;

    private final ServingLoop loop;
    private final Bootstrap bootstrap;
    private final Map<Address, Deque<UpstreamConnection>> idle = new HashMap<>();
    private long opened;

    /**
     * Creates the connections.
     *
     * @param loop the thread
     */
    public UpstreamConnections(ServingLoop loop) {
        this.loop = loop;
        this.bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(loop.clientChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        if (loop.clientChannel() == EpollSocketChannel.class) {
            bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS);
        }
    }

    /**
     * Sends a request.
     *
     * @param address where to
     * @param protocol reads the answer
     * @param requestId id that the answer must echo, or {@code null} if answers have none
     * @param head line and headers
     * @param body the body; released once it was sent
     * @param fresh whether a new connection is asked for
     * @param listener takes the answer
     * @return ends the request
     */
    public UpstreamCall send(
            Address address,
            UpstreamProtocol protocol,
            String requestId,
            HttpRequest head,
            ByteBuf body,
            boolean fresh,
            UpstreamListener listener) {
        UpstreamCall call = new UpstreamCall(protocol, requestId, head, body, listener);
        UpstreamConnection kept = fresh ? null : takeIdle(address);
        if (kept == null) {
            connect(address, call);
        } else {
            kept.start(call);
        }
        return call;
    }

    /** Takes a kept connection that is still good. */
    private UpstreamConnection takeIdle(Address address) {
        Deque<UpstreamConnection> kept = idle.get(address);
        while (kept != null && !kept.isEmpty()) {
            UpstreamConnection connection = kept.pollLast();
            if (connection.usable(loop.nowMillis())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Opens a connection for a call. */
    private void connect(Address address, UpstreamCall call) {
        opened++;
        UpstreamConnection connection = new UpstreamConnection(this, address);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new HttpResponseDecoder(new HttpDecoderConfig().setMaxHeaderSize(HEADER_BYTES)),
                                        connection);
                    }
                })
                .connect(new InetSocketAddress(address.ip(), address.port()));
        call.connecting(connecting);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                call.fail(FailureKind.NO_CONNECTION);
            } else if (call.finished()) {
                connecting.channel().close();
            } else if (!call.listener().mayBeSent()) {
                connecting.channel().close();
                call.fail(FailureKind.WITHHELD);
            } else {
                connection.start(call);
            }
        });
    }

    /**
     * Asks whether a process still listens at an address: one that has ended refuses a new connection at once.
     *
     * @param address the address
     * @return whether a connection was refused; {@code false} if it was made, or if nobody answered
     */
    public Mono<Boolean> isConnectionRefused(Address address) {
        return Mono.create(result -> {
            opened++;
            bootstrap
                    .clone()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, REFUSAL_TIMEOUT_MILLIS)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(new InetSocketAddress(address.ip(), address.port()))
                    .addListener((ChannelFutureListener) done -> {
                        done.channel().close();
                        result.success(!done.isSuccess() && isRefusal(done.cause()));
                    });
        });
    }

    /** Tells whether a host said that nobody listens there; any other failure says nothing of the process. */
    private static boolean isRefusal(Throwable failure) {
        return !(failure instanceof ConnectTimeoutException) && !(failure instanceof NoRouteToHostException);
    }

    /** Keeps a connection for the next request. */
    void keep(UpstreamConnection connection, long keepAliveMillis) {
        long kept = keepAliveMillis > 0 ? Math.max(0, keepAliveMillis - IDLE_MARGIN_MILLIS) : DEFAULT_IDLE_MILLIS;
        connection.keepUntil(loop.nowMillis() + kept);
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Forgets a connection that ended while it was kept. */
    void forget(UpstreamConnection connection) {
        Deque<UpstreamConnection> kept = idle.get(connection.address());
        if (kept != null) {
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    /**
     * Closes the kept connections to an address, as the process that they led to is over: a request sent on one would
     * be reset and count as an attempt.
     *
     * @param address the address
     */
    public void closeIdleTo(Address address) {
        Deque<UpstreamConnection> kept = idle.remove(address);
        if (kept != null) {
            List.copyOf(kept).forEach(UpstreamConnection::close);
        }
    }

    /** Closes connections that were kept long enough. */
    public void closeExpired() {
        long now = loop.nowMillis();
        List<UpstreamConnection> expired = new ArrayList<>();
        for (Deque<UpstreamConnection> kept : idle.values()) {
            for (UpstreamConnection connection : kept) {
                if (!connection.usable(now)) {
                    expired.add(connection);
                }
            }
        }
        expired.forEach(UpstreamConnection::close);
    }

    /**
     * Returns how many connections were opened.
     *
     * @return connections since the start
     */
    public long opened() {
        return opened;
    }
}
