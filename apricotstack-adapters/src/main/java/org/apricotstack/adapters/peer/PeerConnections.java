package org.apricotstack.adapters.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.handler.ssl.SslContext;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.time.MonotonicClock;

/** The connections to peers, one each. They are opened on first use, so their number follows the traffic. */
final class PeerConnections implements AutoCloseable {

    private final Map<HostId, PeerConnection> byHost = new ConcurrentHashMap<>();
    private final SslContext tls;
    private final MonotonicClock clock;

    /**
     * Creates an empty table.
     *
     * @param tls keys for mutual TLS, or {@code null} for none
     * @param clock the local clock
     */
    PeerConnections(SslContext tls, MonotonicClock clock) {
        this.tls = tls;
        this.clock = clock;
    }

    /** Returns the connection to a peer; a peer that has moved gets a new one. */
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
     * Drops the connection to a peer if it was opened before a moment, or at it. Many attempts run over one connection
     * and find it silent one after the other; without the moment each of them would cut off those that were sent again
     * over the next connection.
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
