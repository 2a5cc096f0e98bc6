package org.apricotstack.core.peer;

import java.util.List;
import java.util.stream.IntStream;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformCheckersTest {

    private static final List<String> DATA_CENTRES = List.of("east", "south", "west");

    private final PlatformCheckers checkers = new PlatformCheckers();

    private static Peer peer(String host, String dataCentre, int capacityPercent, boolean ready) {
        Address address = new Address("127.0.0.1", 1);
        return new Peer(
                new ProcessId(new HostId(host), 1),
                new DataCentreId(dataCentre),
                address,
                address,
                ready,
                1,
                1,
                capacityPercent,
                0,
                true,
                500);
    }

    /** Twenty routers of each data centre, the strongest first. */
    private static List<Peer> fleet() {
        return IntStream.range(0, 60)
                .mapToObj(i -> peer("router-" + i, DATA_CENTRES.get(i % 3), 200 - i / 3, true))
                .toList();
    }

    private long checkAge(Peer own, List<Peer> fleet) {
        return checkers.checkAgeMillis(
                own, fleet.stream().filter(peer -> peer != own).toList());
    }

    @Test
    void letsTheFirstRouterOfEachDataCentreCheckBeforeAnySecondOne() {
        List<Peer> fleet = fleet();
        for (int i = 0; i < PlatformCheckers.CHECKERS; i++) {
            assertThat(checkAge(fleet.get(i), fleet))
                    .isEqualTo(PlatformCheckers.CHECK_AGE_MILLIS + i * PlatformCheckers.AGE_PER_CHECKER_MILLIS);
        }
    }

    @Test
    void leavesChecksToAFewRouters() {
        List<Peer> fleet = fleet();
        assertThat(fleet)
                .filteredOn(peer -> checkAge(peer, fleet) != Long.MAX_VALUE)
                .hasSize(PlatformCheckers.CHECKERS);
    }

    @Test
    void passesOverRoutersThatCannotServe() {
        Peer starting = peer("starting", "east", 300, false);
        Peer own = peer("own", "east", 100, true);
        assertThat(checkers.order(own, List.of(starting))).containsExactly(own);
        assertThat(checkers.checkAgeMillis(starting, List.of(own))).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void letsTheOnlyRouterCheck() {
        Peer own = peer("own", "east", 100, true);
        assertThat(checkers.checkAgeMillis(own, List.of())).isEqualTo(PlatformCheckers.CHECK_AGE_MILLIS);
    }
}
