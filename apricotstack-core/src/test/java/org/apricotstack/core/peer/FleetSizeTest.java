package org.apricotstack.core.peer;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetSizeTest {

    private static final long LEARNING_MILLIS = 3_000;

    private final PeerTable peers = new PeerTable();
    private final FleetSize size = new FleetSize(peers, 0);

    @Test
    void takesNoShareUntilItHadTimeToLearnOfTheOthers() {
        know(1, 2, 3, 4);
        assertThat(size.share(100, LEARNING_MILLIS - 1)).isZero();
        assertThat(size.share(100, LEARNING_MILLIS)).isEqualTo(25);
    }

    /** Guards against parts of a fleet, restarted while it was partitioned, that each take the whole amount. */
    @Test
    void takesNoShareWhileASeedWasNotHeard() {
        size.addSeeds(List.of(address(1), address(2)));
        know(1, 2, 3, 4);
        hear(1, 100);
        assertThat(size.share(100, 60_000)).isZero();
        hear(2, 60_000);
        assertThat(size.share(100, 60_000)).isEqualTo(25);
    }

    @Test
    void takesAShareOnceASeedThatWasNeverHeardCountsAsGone() {
        size.addSeeds(List.of(address(1)));
        know(1, 2);
        assertThat(size.share(100, PeerTable.FORGET_MILLIS)).isEqualTo(50);
    }

    /** Guards against a larger share for each part of a fleet whose parts forget each other. */
    @Test
    void assumesNoFewerRoutersThanItOnceKnew() {
        for (int host = 1; host <= 5; host++) {
            hear(host, 0);
        }
        assertThat(size.share(100, LEARNING_MILLIS)).isEqualTo(20);
        peers.expire(PeerTable.FORGET_MILLIS + 1);
        assertThat(peers.addresses()).isEmpty();
        assertThat(size.share(100, PeerTable.FORGET_MILLIS + 1)).isEqualTo(20);
    }

    private void know(int... hosts) {
        for (int host : hosts) {
            peers.addAddress(address(host));
        }
    }

    private void hear(int host, long nowMillis) {
        Address address = address(host);
        ProcessId process = new ProcessId(new HostId("host-" + host), 1);
        peers.recordHeartbeat(
                new Peer(process, new DataCentreId("dc"), address, address, true, 1, 1, 100, 0, true, 500), nowMillis);
    }

    private static Address address(int host) {
        return new Address("10.0.0." + host, 7_000);
    }
}
