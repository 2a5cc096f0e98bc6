package org.apricotstack.bench.deployment;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import org.apricotstack.core.id.Address;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** Relays TCP connections; on command the open ones go silent for good, without being closed, while new ones work. */
final class TcpRelay implements AutoCloseable {

    private final Address target;
    private final Set<AtomicBoolean> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong droppedBytes = new AtomicLong();
    private final DisposableServer server;

    TcpRelay(Address target) {
        this.target = target;
        this.server =
                TcpServer.create().host("127.0.0.1").port(0).handle(this::relay).bindNow();
    }

    private Mono<Void> relay(NettyInbound in, NettyOutbound out) {
        AtomicBoolean silent = new AtomicBoolean();
        open.add(silent);
        return TcpClient.create()
                .host(target.ip())
                .port(target.port())
                .connect()
                .flatMap(there -> {
                    Mono<Void> forth = there.outbound()
                            .send(unlessSilent(in.receive(), silent), buffer -> true)
                            .then();
                    Mono<Void> back = out.send(unlessSilent(there.inbound().receive(), silent), buffer -> true)
                            .then();
                    return Mono.firstWithSignal(forth, back).doFinally(end -> close(there, silent));
                });
    }

    /**
     * Drops what comes over a silent connection. A filter would free dropped buffers a second time, as the library does
     * with all that a flow to a connection discards, and that error closes the connection.
     */
    private Flux<ByteBuf> unlessSilent(ByteBufFlux buffers, AtomicBoolean silent) {
        return buffers.handle((buffer, sink) -> {
            if (silent.get()) {
                droppedBytes.addAndGet(buffer.readableBytes());
            } else {
                sink.next(buffer.retain());
            }
        });
    }

    private void close(Connection there, AtomicBoolean silent) {
        open.remove(silent);
        there.dispose();
    }

    /** Silences all connections that are open now; returns how many there are. */
    int silenceOpenConnections() {
        open.forEach(silent -> silent.set(true));
        return open.size();
    }

    /** Returns how many connections are open that are not silent. */
    long soundConnections() {
        return open.stream().filter(silent -> !silent.get()).count();
    }

    /** Returns how many bytes silent connections have swallowed. */
    long droppedBytes() {
        return droppedBytes.get();
    }

    Address address() {
        return new Address("127.0.0.1", server.port());
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
