package org.apricotstack.adapters.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.RosterHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against attempts that fail after the connection between two routers went silent. Many attempts share one
 * connection. The first one that times out replaces it, and all are retried over the new connection. The other attempts
 * of the silent connection time out a moment later and must not close the new connection too: that aborted the retried
 * attempts and used up the retry budget.
 */
class PeerConnectionsTest {

    private static final HostId HOST = new HostId("router-1");

    private long nowNanos = Long.MAX_VALUE - 5;
    private final PeerConnections connections = new PeerConnections(null, () -> nowNanos);

    @AfterEach
    void closeAll() {
        connections.close();
    }

    @Test
    void closesTheConnectionOverWhichATimedOutAttemptWasSent() {
        PeerConnection silent = connections.to(peerAt(1));

        connections.dropOpenedBefore(HOST, nowNanos);

        assertThat(connections.to(peerAt(1))).isNotSameAs(silent);
        assertThat(silent.channel().isShutdown()).isTrue();
    }

    @Test
    void keepsAConnectionThatWasOpenedAfterTheTimedOutAttemptWasSent() {
        connections.to(peerAt(1));
        long firstSentNanos = ++nowNanos;
        long secondSentNanos = ++nowNanos;
        nowNanos += 10;
        connections.dropOpenedBefore(HOST, firstSentNanos);
        PeerConnection next = connections.to(peerAt(1));

        connections.dropOpenedBefore(HOST, secondSentNanos);

        assertThat(connections.to(peerAt(1))).isSameAs(next);
        assertThat(next.channel().isShutdown()).isFalse();
    }

    @Test
    void opensANewConnectionIfTheAddressOfThePeerHasChanged() {
        PeerConnection former = connections.to(peerAt(1));

        assertThat(connections.to(peerAt(2))).isNotSameAs(former);
        assertThat(former.channel().isShutdown()).isTrue();
    }

    private static RosterHost peerAt(int port) {
        Address address = new Address("127.0.0.1", port);
        return new RosterHost(HOST, new DataCentreId("dc-a"), address, address, false);
    }
}
