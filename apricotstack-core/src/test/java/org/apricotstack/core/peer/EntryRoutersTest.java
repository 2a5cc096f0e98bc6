package org.apricotstack.core.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EntryRoutersTest {

    private static final int DATA_CENTRES = 3;
    private static final int LOW_CAPACITY_PERCENT = 36;
    private static final int HIGH_CAPACITY_PERCENT = 150;

    /** Builds a fleet over three data centres; the first hosts of each have a high capacity. */
    private static List<Peer> fleet(int routers, int highCapacityEach, double requestsPerSecondEach) {
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            peers.add(new Peer(
                    new ProcessId(new HostId("host-" + i), 1),
                    new DataCentreId("dc-" + i % DATA_CENTRES),
                    new Address("127.0.0.1", 1_000 + i),
                    new Address("127.0.0.1", 2_000 + i),
                    true,
                    1,
                    1,
                    i / DATA_CENTRES < highCapacityEach ? HIGH_CAPACITY_PERCENT : LOW_CAPACITY_PERCENT,
                    requestsPerSecondEach,
                    true,
                    500));
        }
        return peers;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 7, 16})
    void choosesAllRoutersOfASmallFleet(int routers) {
        assertThat(EntryRouters.choose(fleet(routers, 0, 1), 0, new EntryWeights()))
                .hasSize(routers);
    }

    /**
     * Guards against processor time that grows with the square of the fleet size: over 501 s for a day of 71 hosts. All
     * hosts were named to callers, however few are needed for the load, so callers spread over all of them and each
     * host sent each placement to all others.
     */
    @ParameterizedTest
    @CsvSource({"58, 1.3, 12", "71, 1.1, 12", "300, 0.3, 12"})
    void choosesFewRoutersOfALargeFleetWithLittleLoad(int routers, double requestsPerSecondEach, int maxChosen) {
        List<Peer> chosen = EntryRouters.choose(fleet(routers, 2, requestsPerSecondEach), 0, new EntryWeights());
        assertThat(chosen).hasSizeLessThanOrEqualTo(maxChosen);
        assertThat(chosen.stream().map(Peer::dataCentre).distinct()).hasSize(DATA_CENTRES);
        assertThat(chosen.stream().filter(peer -> peer.capacityPercent() == HIGH_CAPACITY_PERCENT))
                .hasSize(2 * DATA_CENTRES);
    }

    @ParameterizedTest
    @ValueSource(doubles = {2, 5, 10, 11})
    void choosesAsMuchCapacityAsTheLoadNeeds(double requestsPerSecondEach) {
        List<Peer> chosen = EntryRouters.choose(fleet(300, 2, requestsPerSecondEach), 0, new EntryWeights());
        double cores = chosen.stream().mapToInt(Peer::capacityPercent).sum() / 100.0;
        double needed = 300 * requestsPerSecondEach / EntryRouters.REQUESTS_PER_CORE;
        double all = fleet(300, 2, 0).stream().mapToInt(Peer::capacityPercent).sum() / 100.0;
        assertThat(cores).isGreaterThanOrEqualTo(Math.min(needed, all));
    }

    @Test
    void choiceDoesNotDependOnTheOrderOfHeartbeats() {
        List<Peer> shuffled = new ArrayList<>(fleet(71, 2, 1));
        Collections.shuffle(shuffled, new Random(5));
        assertThat(EntryRouters.choose(shuffled, 0, new EntryWeights()))
                .containsExactlyInAnyOrderElementsOf(EntryRouters.choose(fleet(71, 2, 1), 0, new EntryWeights()));
    }

    @Test
    void replacesALostRouterAndKeepsTheOthers() {
        List<Peer> fleet = fleet(71, 2, 1);
        List<Peer> before = EntryRouters.choose(fleet, 0, new EntryWeights());
        Peer lost = before.get(0);
        fleet.remove(lost);
        List<Peer> after = EntryRouters.choose(fleet, 0, new EntryWeights());
        assertThat(after).hasSameSizeAs(before).doesNotContain(lost);
        assertThat(after.stream().filter(before::contains)).hasSize(before.size() - 1);
    }

    @Test
    void addsOneSparePerDataCentre() {
        List<Peer> fleet = fleet(71, 2, 1);
        assertThat(EntryRouters.choose(fleet, 1, new EntryWeights()))
                .hasSize(EntryRouters.choose(fleet, 0, new EntryWeights()).size() + DATA_CENTRES)
                .containsAll(EntryRouters.choose(fleet, 0, new EntryWeights()));
    }
}
