package org.apricotstack.serving.news;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsGrpc;
import org.apricotstack.wire.news.NewsReply;

/** Takes the streams of other routers. */
public final class NewsServer implements AutoCloseable {

    /** Longest frame, in bytes; a configuration has a megabyte at most. */
    static final int MOST_FRAME_BYTES = 4 * 1024 * 1024;

    /**
     * Bytes that may be under way on a connection. A fixed window: finding one out by pings would double the bytes of
     * heartbeats.
     */
    static final int WINDOW_BYTES = 1024 * 1024;

    private final Server server;

    /**
     * Listens.
     *
     * @param loop the thread
     * @param address where
     * @param sink takes the news
     * @throws ApricotException with {@link ErrorCode#ENVIRONMENT} if the address cannot be used
     */
    public NewsServer(ServingLoop loop, Address address, NewsSink sink) {
        server = NettyServerBuilder.forAddress(new InetSocketAddress(address.ip(), address.port()))
                .bossEventLoopGroup(loop.group())
                .workerEventLoopGroup(loop.group())
                .channelType(loop.serverChannel())
                .maxInboundMessageSize(MOST_FRAME_BYTES)
                .flowControlWindow(WINDOW_BYTES)
                .directExecutor()
                .addService(new Service(sink))
                .build();
        try {
            server.start();
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot listen on " + address + "; end the program that uses it.", e);
        }
    }

    /**
     * Returns the port.
     *
     * @return the port that it listens on
     */
    public int port() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /** The service as peers call it. */
    private static final class Service extends NewsGrpc.NewsImplBase {
        private final NewsSink sink;

        /** Creates the service. */
        private Service(NewsSink sink) {
            this.sink = sink;
        }

        @Override
        public StreamObserver<NewsFrame> exchange(StreamObserver<NewsReply> replies) {
            NewsStream stream = new NewsStream();
            return new StreamObserver<>() {
                @Override
                public void onNext(NewsFrame frame) {
                    sink.frame(frame, stream);
                    if (frame.hasDocuments()) {
                        replies.onNext(sink.documents(frame.getDocuments()));
                    } else if (frame.hasHeartbeat()) {
                        replies.onNext(NewsReply.getDefaultInstance());
                    }
                }

                @Override
                public void onError(Throwable error) {
                    // The peer's silence is noticed by its missing heartbeats.
                }

                @Override
                public void onCompleted() {
                    replies.onCompleted();
                }
            };
        }
    }
}
