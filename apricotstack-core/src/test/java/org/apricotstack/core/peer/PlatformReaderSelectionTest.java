package org.apricotstack.core.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformReaderSelectionTest {

    private static final DataCentreId EAST = new DataCentreId("east");
    private static final DataCentreId WEST = new DataCentreId("west");

    private final PlatformReaderSelection readers = new PlatformReaderSelection();
    private final Peer strong = peer("strong", EAST, 150);
    private final Peer middle = peer("middle", EAST, 75);
    private final Peer weak = peer("weak", EAST, 36);
    private final Peer remote = peer("elsewhere", WEST, 150);

    private static Peer peer(String host, DataCentreId dataCentre, int capacityPercent) {
        Address address = new Address("127.0.0.1", 1);
        return new Peer(
                new ProcessId(new HostId(host), 1),
                dataCentre,
                address,
                address,
                true,
                1,
                1,
                capacityPercent,
                0,
                true,
                500);
    }

    @Test
    void readsUnlessAPrecedingRouterOfItsDataCentreReads() {
        assertThat(readers.mustReadPlatform(middle, 0)).isTrue();
        readers.recordHeartbeat(remote, true, 0);
        readers.recordHeartbeat(weak, true, 0);
        assertThat(readers.mustReadPlatform(middle, 0)).isTrue();
        readers.recordHeartbeat(strong, true, 0);
        assertThat(readers.mustReadPlatform(middle, 0)).isFalse();
        assertThat(readers.mustReadPlatform(weak, 0)).isFalse();
        assertThat(readers.mustReadPlatform(strong, 0)).isTrue();
    }

    /**
     * After a start, when all routers read, exactly one reader per data centre is left, in whatever order the
     * heartbeats arrive.
     */
    @Test
    void leavesOneReaderPerDataCentre() {
        for (Peer peer : new Peer[] {weak, strong, middle, remote}) {
            readers.recordHeartbeat(peer, true, 0);
        }
        assertThat(new Peer[] {strong, middle, weak, remote})
                .filteredOn(peer -> readers.mustReadPlatform(peer, 0))
                .containsExactly(strong, remote);
    }

    /**
     * Guards against a configuration change that takes effect too late because the reader of a data centre has fallen
     * silent, or the platform rejects its calls, while the other routers keep waiting for its heartbeat.
     */
    @Test
    void readsAgainOnceTheReaderIsSilentOrRejected() {
        readers.recordHeartbeat(strong, true, 0);
        assertThat(readers.mustReadPlatform(weak, PlatformReaderSelection.VALID_MILLIS - 1))
                .isFalse();
        assertThat(readers.mustReadPlatform(weak, PlatformReaderSelection.VALID_MILLIS))
                .isTrue();
        readers.recordHeartbeat(strong, true, 5_000);
        readers.recordHeartbeat(middle, true, 5_000);
        readers.recordHeartbeat(strong, false, 5_001);
        assertThat(readers.mustReadPlatform(weak, 5_001)).isFalse();
        assertThat(readers.mustReadPlatform(middle, 5_001)).isTrue();
        readers.recordHeartbeat(middle, false, 5_002);
        assertThat(readers.mustReadPlatform(weak, 5_002)).isTrue();
    }

    @Test
    void reliesOnlyOnKnownPrecedingReaders() {
        readers.recordHeartbeat(strong, true, 0);
        readers.recordHeartbeat(weak, true, 0);
        assertThat(readers.reliesOn(middle, strong, 0)).isTrue();
        assertThat(readers.reliesOn(middle, weak, 0)).isFalse();
        assertThat(readers.reliesOn(middle, remote, 0)).isFalse();
        assertThat(readers.reliesOn(middle, strong, PlatformReaderSelection.VALID_MILLIS))
                .isFalse();
    }
}
