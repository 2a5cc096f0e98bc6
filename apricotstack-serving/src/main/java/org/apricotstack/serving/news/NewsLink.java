package org.apricotstack.serving.news;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsGrpc;
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
final class NewsLink implements AutoCloseable {

    /** Time without an answer after which the connection is given up, in milliseconds. */
    private static final long SILENT_MILLIS = 1_800;

    /** Heartbeats without an answer that have the same effect in a large fleet. */
    private static final long SILENT_BEATS = 3;

    /** Time between two connections, in milliseconds, so that a dead host costs little. */
    private static final long REOPEN_MILLIS = 300;

    private final ServingLoop loop;
    private final Address address;
    private final NewsSink sink;
    private final Supplier<NewsFrame> allNews;
    private final Runnable whenEnded;
    private long silentMillis = SILENT_MILLIS;
    private ManagedChannel channel;
    private ClientCallStreamObserver<NewsFrame> stream;
    private long openedMillis = Long.MIN_VALUE / 2;
    private long heardMillis;
    private boolean missed = true;

    /** Creates a link that is not open. */
    NewsLink(ServingLoop loop, Address address, NewsSink sink, Supplier<NewsFrame> allNews, Runnable whenEnded) {
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
    void heartbeat(NewsFrame frame, long nextMillis) {
        silentMillis = Math.max(SILENT_MILLIS, SILENT_BEATS * nextMillis);
        long now = loop.nowMillis();
        if (stream != null && now - heardMillis > silentMillis) {
            drop();
        }
        if (stream == null && now - openedMillis >= REOPEN_MILLIS) {
            open(now);
        }
        if (stream != null) {
            stream.onNext(frame);
            catchUp();
        }
    }

    /** Sends news and tells whether a stream took them; lost ones are not kept, as they would be old later. */
    boolean send(NewsFrame frame) {
        boolean open = isOpen();
        if (open) {
            catchUp();
            stream.onNext(frame);
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
            stream.onNext(allNews.get());
        }
    }

    /** Tells whether news can be sent. */
    boolean isOpen() {
        return stream != null && stream.isReady();
    }

    /** Asks for documents; opens the stream first if there is none, or if nothing was heard on it for long. */
    boolean ask(NewsFrame greeting, NewsFrame request) {
        heartbeat(greeting, 0);
        if (stream != null) {
            stream.onNext(request);
        }
        return stream != null;
    }

    /** Opens a connection and a stream. */
    private void open(long now) {
        openedMillis = now;
        heardMillis = now;
        missed = true;
        channel = NettyChannelBuilder.forAddress(new InetSocketAddress(address.ip(), address.port()))
                .eventLoopGroup(loop.group())
                .channelType(loop.clientChannel())
                .maxInboundMessageSize(NewsServer.MOST_FRAME_BYTES)
                .flowControlWindow(NewsServer.WINDOW_BYTES)
                .usePlaintext()
                .disableRetry()
                .directExecutor()
                .build();
        NewsGrpc.newStub(channel).exchange(new Replies());
    }

    /** Gives the connection up. */
    private void drop() {
        ManagedChannel dropped = channel;
        channel = null;
        stream = null;
        missed = true;
        if (dropped != null) {
            dropped.shutdownNow();
        }
    }

    @Override
    public void close() {
        drop();
    }

    /** Takes what the peer answers. */
    private final class Replies implements ClientResponseObserver<NewsFrame, NewsReply> {
        private ClientCallStreamObserver<NewsFrame> mine;

        @Override
        public void beforeStart(ClientCallStreamObserver<NewsFrame> requests) {
            mine = requests;
            stream = requests;
            requests.setOnReadyHandler(() -> loop.execute(this::ready));
        }

        @Override
        public void onNext(NewsReply reply) {
            loop.execute(() -> {
                heardMillis = loop.nowMillis();
                sink.reply(reply, address.toString());
            });
        }

        @Override
        public void onError(Throwable error) {
            loop.execute(this::ended);
        }

        @Override
        public void onCompleted() {
            loop.execute(this::ended);
        }

        /** Tells the peer what it missed while the connection was being made or was full. */
        private void ready() {
            if (stream == mine) {
                catchUp();
            }
        }

        /** Gives the connection up if it is still this one. */
        private void ended() {
            if (stream == mine) {
                drop();
                whenEnded.run();
            }
        }
    }
}
