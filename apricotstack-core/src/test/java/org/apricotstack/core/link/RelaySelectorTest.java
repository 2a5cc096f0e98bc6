package org.apricotstack.core.link;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.Peer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelaySelectorTest {

    private static final DataCentreId EAST = new DataCentreId("east");
    private static final DataCentreId WEST = new DataCentreId("west");

    private final RelaySelector selector = new RelaySelector(EAST);

    @Test
    void prefersTheOwnDataCentre() {
        assertThat(selector.candidates(List.of(peer(1, WEST), peer(2, EAST), peer(3, WEST)), 0))
                .containsExactly(address(2), address(1), address(3));
    }

    /** Guards against a single router that bears the detours of all others. */
    @Test
    void usesEqualRoutersInTurn() {
        List<Peer> alive = List.of(peer(1, EAST), peer(2, EAST), peer(3, EAST));
        List<Address> first = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Address next = selector.candidates(alive, 0).get(0);
            selector.tried(next);
            first.add(next);
        }
        assertThat(first).containsExactly(address(1), address(2), address(3), address(1), address(2), address(3));
    }

    @Test
    void leavesOutARouterThatCouldNotHelpForAWhile() {
        List<Peer> alive = List.of(peer(1, EAST), peer(2, EAST));
        selector.leaveOut(address(1), 0);
        assertThat(selector.candidates(alive, 999)).containsExactly(address(2));
        assertThat(selector.candidates(alive, 1_000)).containsExactly(address(1), address(2));
    }

    /** Guards against requests that are lost with a router that is about to end. */
    @Test
    void asksNoRouterThatIsNotReady() {
        assertThat(selector.candidates(List.of(peer(1, EAST, false)), 0)).isEmpty();
    }

    @Test
    void triesOnlyAFewRoutersOfALargeFleet() {
        List<Peer> alive = new ArrayList<>();
        for (int host = 1; host <= 95; host++) {
            alive.add(peer(host, EAST));
        }
        assertThat(selector.candidates(alive, 0)).hasSize(4);
    }

    private static Peer peer(int host, DataCentreId dataCentre) {
        return peer(host, dataCentre, true);
    }

    private static Peer peer(int host, DataCentreId dataCentre, boolean ready) {
        ProcessId process = new ProcessId(new HostId("host-" + host), 1);
        return new Peer(process, dataCentre, address(host), address(host), ready, 1, 1, 100, 0, true, 500);
    }

    private static Address address(int host) {
        return new Address("10.0.0." + host, 7_000);
    }
}
