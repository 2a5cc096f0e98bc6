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

/** TCP relay that can silence its open connections permanently without closing them; new connections work. */
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
                .flatMap(upstream -> {
                    Mono<Void> toTarget = upstream.outbound()
                            .send(unlessSilent(in.receive(), silent), buffer -> true)
                            .then();
                    Mono<Void> toClient = out.send(
                                    unlessSilent(upstream.inbound().receive(), silent), buffer -> true)
                            .then();
                    return Mono.firstWithSignal(toTarget, toClient).doFinally(end -> close(upstream, silent));
                });
    }

    /**
     * Drops the data of silent connections. With a filter, dropped buffers would be released twice, because the library
     * also releases buffers that are discarded on the way to a connection, and the error would close the connection.
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

    private void close(Connection upstream, AtomicBoolean silent) {
        open.remove(silent);
        upstream.dispose();
    }

    /** Silences all open connections; returns their number. */
    int silenceOpenConnections() {
        open.forEach(silent -> silent.set(true));
        return open.size();
    }

    /** Returns the number of open connections that are not silent. */
    long activeConnections() {
        return open.stream().filter(silent -> !silent.get()).count();
    }

    /** Returns the number of bytes dropped on silent connections. */
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
