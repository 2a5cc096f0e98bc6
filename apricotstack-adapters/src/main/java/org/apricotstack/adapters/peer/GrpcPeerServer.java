package org.apricotstack.adapters.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.handler.ssl.SslContext;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.time.MonotonicClock;

/** Server of the protocol between routers. */
public final class GrpcPeerServer implements AutoCloseable {

    /** Maximum size of a message: the largest body, and 1 MiB for the other fields. */
    static final int MAX_MESSAGE_BYTES = (64 << 20) + (1 << 20);

    /** Time without traffic after which a keep-alive ping is sent, in seconds. */
    static final long KEEP_ALIVE_SECONDS = 10;

    /** Timeout of the keep-alive ping, in seconds. */
    static final long KEEP_ALIVE_TIMEOUT_SECONDS = 2;

    private final Server server;

    /**
     * Starts a server.
     *
     * @param listen the address; port 0 selects a free port
     * @param tls keys for mutual TLS, or {@code null} for none
     * @param endpoint handles the calls
     * @param self this process
     * @param clock the local clock
     */
    public GrpcPeerServer(Address listen, SslContext tls, PeerEndpoint endpoint, ProcessId self, MonotonicClock clock) {
        NettyServerBuilder builder = NettyServerBuilder.forAddress(new InetSocketAddress(listen.ip(), listen.port()))
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .permitKeepAliveTime(KEEP_ALIVE_SECONDS / 2, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .directExecutor()
                .addService(new GrpcPeerService(endpoint, self, clock));
        if (tls != null) {
            builder.sslContext(tls);
        }
        try {
            server = builder.build().start();
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "Cannot listen on peerAddress " + listen + "; choose an address of this host that is free.",
                    e);
        }
    }

    /**
     * Returns the port.
     *
     * @return the port on which the server listens
     */
    public int port() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }
}
