package org.apricotstack.adapters.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.RosterHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Symptom: after a connection between two routers went silent, requests that could have been repeated once fail, and
 * the retry budget is used up.
 *
 * <p>Sequence of events: many attempts run over one connection, which goes silent; the first one whose time is over
 * replaces it and all are sent again over a new one; the times of others are over a moment later.
 *
 * <p>Cause: each of them dropped whatever connection was open, also the new one, and cut off what ran over it.
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
    void dropsTheConnectionThatASilentAttemptWasSentOver() {
        PeerConnection silent = connections.to(peerAt(1));

        connections.dropOpenedBefore(HOST, nowNanos);

        assertThat(connections.to(peerAt(1))).isNotSameAs(silent);
        assertThat(silent.channel().isShutdown()).isTrue();
    }

    @Test
    void keepsTheConnectionThatWasOpenedAfterASilentAttemptWasSent() {
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
    void opensAnotherConnectionToAPeerThatHasMoved() {
        PeerConnection former = connections.to(peerAt(1));

        assertThat(connections.to(peerAt(2))).isNotSameAs(former);
        assertThat(former.channel().isShutdown()).isTrue();
    }

    private static RosterHost peerAt(int port) {
        Address address = new Address("127.0.0.1", port);
        return new RosterHost(HOST, new DataCentreId("dc-a"), address, address, false);
    }
}
