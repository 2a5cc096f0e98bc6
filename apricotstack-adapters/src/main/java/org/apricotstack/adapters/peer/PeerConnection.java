package org.apricotstack.adapters.peer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.NegotiationType;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContext;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.time.PeerClock;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * One connection to a peer.
 *
 * <p>gRPC's own retries are disabled, so that an attempt is sent at most once on a connection; only the router decides
 * whether to retry.
 */
final class PeerConnection implements AutoCloseable {

    /** Connect timeout. When it expires, nothing has been sent to the peer. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

    /** Time without calls after which the connection is closed, in minutes. */
    private static final long IDLE_MINUTES = 5;

    private final Address address;
    private final ManagedChannel channel;
    private final PeerClock clock = new PeerClock();
    private final long openedNanos;

    /** Creates a connection that is opened on first use. */
    PeerConnection(Address address, SslContext tls, long openedNanos) {
        this.address = address;
        this.openedNanos = openedNanos;
        NettyChannelBuilder builder = NettyChannelBuilder.forAddress(address.ip(), address.port())
                .maxInboundMessageSize(GrpcPeerServer.MAX_MESSAGE_BYTES)
                .keepAliveTime(GrpcPeerServer.KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(GrpcPeerServer.KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
                .disableRetry()
                .directExecutor();
        if (tls == null) {
            builder.negotiationType(NegotiationType.PLAINTEXT);
        } else {
            builder.sslContext(tls).negotiationType(NegotiationType.TLS);
        }
        this.channel = builder.build();
    }

    /**
     * Waits until the connection is established. A failure here proves that nothing was sent.
     *
     * @return the channel, or an error with a {@code not_run} refusal
     */
    Mono<ManagedChannel> ready() {
        if (channel.getState(true) == ConnectivityState.READY) {
            return Mono.just(channel);
        }
        Refusal refusal = Refusal.notRun(RefusalReason.OWNER_UNREACHABLE, CONNECT_TIMEOUT.toMillis());
        return Mono.<ManagedChannel>create(sink -> awaitReady(sink, refusal))
                .timeout(CONNECT_TIMEOUT, Mono.error(refusal::toException));
    }

    /** Waits for state changes of the channel until it is ready or has failed. */
    private void awaitReady(MonoSink<ManagedChannel> sink, Refusal refusal) {
        ConnectivityState state = channel.getState(true);
        switch (state) {
            case READY -> sink.success(channel);
            case TRANSIENT_FAILURE, SHUTDOWN -> sink.error(refusal.toException());
            default -> channel.notifyWhenStateChanged(state, () -> awaitReady(sink, refusal));
        }
    }

    /** Returns the channel, connected or not. */
    ManagedChannel channel() {
        return channel;
    }

    /** Returns the estimate of the peer's clock. */
    PeerClock clock() {
        return clock;
    }

    /** Returns whether the connection was opened at or before an instant of the local clock. */
    boolean openedBefore(long nanos) {
        return openedNanos - nanos <= 0;
    }

    /** Returns the address. */
    Address address() {
        return address;
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }
}
