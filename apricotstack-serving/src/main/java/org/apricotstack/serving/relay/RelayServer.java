package org.apricotstack.serving.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.Future;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.upstream.SoundSilence;
import org.apricotstack.serving.http.ConnectionOpener;
import org.apricotstack.serving.http.OpenedConnection;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.TcpConnectionOpener;

/**
 * Opens connections to upstreams for other routers, and relays their bytes.
 *
 * <p>It only relays to upstreams that it knows itself, and only over its own links: a relayed connection never leads
 * through a third router. All decisions about requests stay with the router that asks.
 */
public final class RelayServer {

    /** Connect timeout, in milliseconds; the other router has others to ask. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    /** Longest usual pause between two parts of an answer, in milliseconds. */
    private static final long USUAL_PAUSE_MILLIS = 1_000;

    /** Pause in a response after which a stopping router takes it for complete, in milliseconds. */
    private static final long PAUSE_MILLIS = USUAL_PAUSE_MILLIS + SoundSilence.LONGEST_MILLIS;

    private final ServingLoop loop;
    private final ConnectionOpener direct;
    private final LinkTable links;
    private final Predicate<Address> isUpstream;
    private final Predicate<String> isRouter;
    private final int maxRelays;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private long relayed;
    private boolean stopping;

    /**
     * Creates a server without relayed connections.
     *
     * @param loop the event loop
     * @param direct opens connections from this router
     * @param links the lost links of this router
     * @param isUpstream tells whether an address is one of a known upstream
     * @param isRouter tells whether an IP address is one of a known router
     * @param maxRelays maximum number of relayed connections at a time
     */
    public RelayServer(
            ServingLoop loop,
            ConnectionOpener direct,
            LinkTable links,
            Predicate<Address> isUpstream,
            Predicate<String> isRouter,
            int maxRelays) {
        this.loop = loop;
        this.direct = direct;
        this.links = links;
        this.isUpstream = isUpstream;
        this.isRouter = isRouter;
        this.maxRelays = maxRelays;
    }

    /**
     * Creates a server that relays nothing, for routers without upstreams.
     *
     * @param loop the event loop
     * @return the server
     */
    public static RelayServer none(ServingLoop loop) {
        return new RelayServer(loop, new TcpConnectionOpener(loop), new LinkTable(), address -> false, ip -> false, 0);
    }

    /**
     * Creates the handler of a connection that begins with a request.
     *
     * @param remoteIp the IP address of the other side
     * @param use receives the use of the connection
     * @return the handler
     */
    public ChannelHandler handler(String remoteIp, ConnectionUse use) {
        return new RequestDecoder(remoteIp, use);
    }

    /**
     * Returns the number of open relayed connections.
     *
     * @return connections
     */
    public int open() {
        return connections.size();
    }

    /**
     * Relays no new connections, closes those that are not in use, and returns how many are; called repeatedly by a
     * stopping router.
     *
     * @return connections on which a response may be outstanding
     */
    public int drain() {
        stopping = true;
        long now = loop.nowMillis();
        List.copyOf(connections).stream()
                .filter(connection -> !connection.inUse(PAUSE_MILLIS, now))
                .forEach(RelayedConnection::close);
        return connections.size();
    }

    /**
     * Returns the number of connections that were relayed.
     *
     * @return connections since the start
     */
    public long relayed() {
        return relayed;
    }

    /** Returns why a connection is not relayed, or {@code CONNECTED} if it may be. */
    private RelayReply check(Address upstream, String remoteIp) {
        if (!isRouter.test(remoteIp) || !isUpstream.test(upstream)) {
            return RelayReply.UNKNOWN_UPSTREAM;
        }
        return stopping || links.isLost(upstream) || connections.size() >= maxRelays
                ? RelayReply.NO_LINK
                : RelayReply.CONNECTED;
    }

    /** Reads a request and opens the connection to the upstream. */
    private final class RequestDecoder extends ByteToMessageDecoder {

        private final String remoteIp;
        private final ConnectionUse use;
        private boolean requested;

        private RequestDecoder(String remoteIp, ConnectionUse use) {
            this.remoteIp = remoteIp;
            this.use = use;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (requested) {
                return;
            }
            Address upstream = RelayFraming.readAddress(in);
            if (upstream == null) {
                return;
            }
            requested = true;
            use.used();
            RelayReply reply = check(upstream, remoteIp);
            if (reply == RelayReply.CONNECTED) {
                connect(context, upstream);
            } else {
                refuse(context, reply);
            }
        }

        /** Opens the connection to the upstream. */
        private void connect(ChannelHandlerContext context, Address upstream) {
            context.channel().config().setAutoRead(false);
            direct.open(upstream, CONNECT_TIMEOUT_MILLIS).addListener((Future<OpenedConnection> done) -> {
                if (!done.isSuccess()) {
                    refuse(context, RelayReply.UNREACHABLE);
                } else if (context.channel().isActive()) {
                    links.connected(upstream);
                    join(context, done.getNow().channel());
                } else {
                    done.getNow().channel().close();
                }
            });
        }

        /** Joins both connections. */
        private void join(ChannelHandlerContext context, Channel upstream) {
            Channel router = context.channel();
            RelayedConnection connection = new RelayedConnection(router, upstream, use, loop.nowMillis());
            use.inUseWhile(() -> connection.inUse(PAUSE_MILLIS, loop.nowMillis()));
            connections.add(connection);
            relayed++;
            router.closeFuture().addListener(closed -> connections.remove(connection));
            upstream.pipeline().addLast(new RelayPipe(router, () -> connection.responseRelayed(loop.nowMillis())));
            router.pipeline().addLast(new RelayPipe(upstream, () -> connection.requestRelayed(loop.nowMillis())));
            router.writeAndFlush(reply(RelayReply.CONNECTED));
            router.pipeline().remove(this);
            router.config().setAutoRead(true);
        }

        /** Answers that the connection is not relayed, and closes it. */
        private void refuse(ChannelHandlerContext context, RelayReply reply) {
            context.writeAndFlush(reply(reply)).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static ByteBuf reply(RelayReply reply) {
        return Unpooled.buffer(1).writeByte(reply.ordinal());
    }
}
