package org.apricotstack.adapters.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.handler.ssl.SslContext;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.time.MonotonicClock;

/** One connection to each peer, opened on first use. */
final class PeerConnections implements AutoCloseable {

    private final Map<HostId, PeerConnection> byHost = new ConcurrentHashMap<>();
    private final SslContext tls;
    private final MonotonicClock clock;

    /**
     * Creates an empty set of connections.
     *
     * @param tls keys for mutual TLS, or {@code null} for none
     * @param clock the local clock
     */
    PeerConnections(SslContext tls, MonotonicClock clock) {
        this.tls = tls;
        this.clock = clock;
    }

    /** Returns the connection to a peer; opens a new one if the address of the peer has changed. */
    PeerConnection to(RosterHost target) {
        return byHost.compute(target.id(), (host, current) -> {
            if (current != null && current.address().equals(target.peerAddress())) {
                return current;
            }
            if (current != null) {
                current.close();
            }
            return new PeerConnection(target.peerAddress(), tls, clock.nanos());
        });
    }

    /**
     * Closes the connection to a peer if it was opened at or before an instant. Many attempts share a connection and
     * time out one after the other when it goes silent; without the instant, each of them would also close the new
     * connection and abort the attempts that were retried over it.
     */
    void dropOpenedBefore(HostId host, long nanos) {
        byHost.computeIfPresent(host, (id, current) -> {
            if (!current.openedBefore(nanos)) {
                return current;
            }
            current.close();
            return null;
        });
    }

    @Override
    public void close() {
        byHost.values().forEach(PeerConnection::close);
        byHost.clear();
    }
}
