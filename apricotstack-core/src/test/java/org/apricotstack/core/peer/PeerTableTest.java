package org.apricotstack.core.peer;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.stop.OtherRouters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTableTest {

    private static final DataCentreId EAST = new DataCentreId("east");
    private static final DataCentreId WEST = new DataCentreId("west");

    private final PeerTable table = new PeerTable();

    private static Peer peer(int number, long incarnation, DataCentreId dataCentre, boolean ready) {
        return peer(number, incarnation, dataCentre, ready, 500);
    }

    private static Peer peer(int number, long incarnation, DataCentreId dataCentre, boolean ready, long nextMillis) {
        return new Peer(
                new ProcessId(new HostId("host-" + number), incarnation),
                dataCentre,
                new Address("127.0.0." + number, 80),
                new Address("127.0.0." + number, 90),
                ready,
                1,
                1,
                100,
                0,
                true,
                nextMillis);
    }

    private List<String> callerIps(DataCentreId dataCentre, long nowMillis) {
        return table.callerAddresses(null, dataCentre, 64, nowMillis).stream()
                .map(Address::ip)
                .toList();
    }

    @Test
    void prefersTheOwnDataCentreWhileItHasTwoRouters() {
        table.recordHeartbeat(peer(1, 1, EAST, true), 0);
        table.recordHeartbeat(peer(2, 1, EAST, true), 0);
        table.recordHeartbeat(peer(3, 1, WEST, true), 0);
        assertThat(callerIps(EAST, 0)).containsExactly("127.0.0.1", "127.0.0.2");
        assertThat(callerIps(WEST, 0)).containsExactly("127.0.0.1", "127.0.0.2", "127.0.0.3");
        assertThat(callerIps(null, 0)).hasSize(3);
    }

    @Test
    void countsSilentRoutersButNotThoseThatAnnouncedTheirStop() {
        table.recordHeartbeat(peer(1, 1, EAST, true), 0);
        table.recordHeartbeat(peer(2, 1, EAST, false), 0);
        table.recordHeartbeat(peer(3, 1, EAST, true), 1_000);
        assertThat(table.silentEntryRouterCount(0)).isZero();
        assertThat(table.silentEntryRouterCount(PeerTable.SUSPECT_MILLIS)).isEqualTo(1);
    }

    @Test
    void leavesOutRoutersThatAreSilentOrNotReady() {
        table.recordHeartbeat(peer(1, 1, EAST, true), 0);
        table.recordHeartbeat(peer(2, 1, EAST, true), 1_000);
        table.recordHeartbeat(peer(3, 1, EAST, false), 1_000);
        assertThat(callerIps(EAST, PeerTable.SUSPECT_MILLIS)).containsExactly("127.0.0.2");
    }

    private static Peer stopping(int number, long leftMillis) {
        Peer ready = peer(number, 1, EAST, false);
        return new Peer(
                ready.process(),
                ready.dataCentre(),
                ready.callerAddress(),
                ready.peerAddress(),
                false,
                1,
                1,
                100,
                0,
                true,
                500,
                leftMillis);
    }

    @Test
    void sendsCallersToTheStoppingRoutersThatEndLastWhileNoneIsReady() {
        table.recordHeartbeat(stopping(1, 3_000), 0);
        table.recordHeartbeat(stopping(2, 6_000), 0);
        table.recordHeartbeat(stopping(3, 5_600), 0);
        assertThat(callerIps(EAST, 1_000)).containsExactly("127.0.0.2", "127.0.0.3");
        table.recordHeartbeat(peer(4, 1, WEST, true), 1_000);
        assertThat(callerIps(EAST, 1_000)).containsExactly("127.0.0.4");
    }

    /** Callers would get no address, and go on with the one of a router that ends first. */
    @Test
    void sendsCallersToThisStoppingRouterIfItEndsLast() {
        table.recordHeartbeat(stopping(1, 3_000), 0);
        assertThat(table.callerAddresses(stopping(2, 6_000), EAST, 64, 0))
                .extracting(Address::ip)
                .containsExactly("127.0.0.2");
        assertThat(table.callerAddresses(stopping(2, 2_000), EAST, 64, 0))
                .extracting(Address::ip)
                .containsExactly("127.0.0.1");
    }

    @Test
    void sendsNoCallersToAStoppingRouterThatIsSilentOrHasEnded() {
        table.recordHeartbeat(stopping(1, 1_000), 0);
        table.recordHeartbeat(stopping(2, 9_000), 0);
        assertThat(callerIps(EAST, 1_500)).containsExactly("127.0.0.2");
        assertThat(callerIps(EAST, PeerTable.SUSPECT_MILLIS)).isEmpty();
        table.recordHeartbeat(stopping(2, 0), 1_000);
        assertThat(callerIps(EAST, 1_000)).isEmpty();
    }

    /** Guards against a longer time without any ready router. */
    @Test
    void takesNoRouterForTheLastOneWhileNoneIsReadyElsewhere() {
        table.recordHeartbeat(stopping(2, 0), 0);
        table.recordHeartbeat(peer(3, 1, WEST, false), 0);
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), 0)).isFalse();
        table.recordHeartbeat(peer(3, 1, WEST, true), 0);
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), 0)).isTrue();
    }

    @Test
    void findsTheLastRouterOfADataCentreThatCallersCanAsk() {
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), 0))
                .as("the only one")
                .isFalse();
        table.recordHeartbeat(stopping(2, 6_000), 0);
        table.recordHeartbeat(peer(3, 1, WEST, true), 0);
        assertThat(table.isLastOfDataCentre(stopping(1, 5_000), 0))
                .as("another one ends later")
                .isFalse();
        assertThat(table.isLastOfDataCentre(stopping(1, 7_000), 0))
                .as("the other one ends before")
                .isTrue();
        table.recordHeartbeat(stopping(2, 0), 100);
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), 100))
                .as("the other one has ended")
                .isTrue();
        table.recordHeartbeat(peer(2, 2, EAST, true), 1_000);
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), 1_000))
                .as("the other one is back")
                .isFalse();
    }

    /** Guards against routers that all end at once, as each counts the time of the others' heartbeats as theirs. */
    @Test
    void takesOneOfTheRoutersThatStopAtTheSameTimeForTheLastOne() {
        table.recordHeartbeat(peer(4, 1, WEST, true), 0);
        table.recordHeartbeat(stopping(2, 6_000), 5);
        assertThat(table.isLastOfDataCentre(stopping(1, 5_995), 5)).isFalse();
        assertThat(table.isLastOfDataCentre(stopping(3, 5_995), 5)).isTrue();
    }

    /** Guards against a stop that waits for a router that is not coming back. */
    @Test
    void waitsForNoRouterThatEndedLongAgo() {
        table.recordHeartbeat(stopping(2, 0), 0);
        table.recordHeartbeat(peer(3, 1, WEST, true), PeerTable.DEAD_MILLIS - 1);
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), PeerTable.DEAD_MILLIS - 1))
                .isTrue();
        assertThat(table.isLastOfDataCentre(stopping(1, 3_000), PeerTable.DEAD_MILLIS))
                .isFalse();
    }

    @Test
    void tellsAStoppingRouterWhereItsCallersCanGo() {
        assertThat(table.others(0)).isEqualTo(OtherRouters.NONE);
        table.recordHeartbeat(stopping(1, 3_000), 0);
        table.recordHeartbeat(stopping(2, 6_000), 0);
        OtherRouters others = table.others(1_000);
        assertThat(others.ready()).isFalse();
        assertThat(others.stopLeftMillis()).containsExactlyInAnyOrder(5_000L, 2_000L);
        assertThat(others.longestLeftMillis()).isEqualTo(5_000);
        assertThat(others.soonestEndMillis()).isEqualTo(2_000);
        table.recordHeartbeat(peer(3, 1, WEST, true), 0);
        assertThat(table.others(0).ready()).isTrue();
    }

    /**
     * Guards against a restarted router that callers are not sent to for minutes: its wall clock jumped back before the
     * restart, so its new incarnation is smaller, and heartbeats of smaller incarnations were dropped.
     */
    @Test
    void acceptsARestartedRouterWhoseWallClockJumpedBack() {
        table.recordHeartbeat(peer(1, 500, EAST, true), 0);
        ProcessId before = table.recordHeartbeat(peer(1, 400, EAST, true), 5_000);
        assertThat(before.incarnation()).isEqualTo(500);
        assertThat(callerIps(EAST, 5_000)).containsExactly("127.0.0.1");
    }

    @Test
    void removesPlacementsLaterThanCallerAddresses() {
        table.recordHeartbeat(peer(1, 1, EAST, true), 0);
        assertThat(table.expire(PeerTable.SUSPECT_MILLIS)).isEmpty();
        assertThat(table.expire(PeerTable.DEAD_MILLIS + 1)).hasSize(1);
        assertThat(table.addresses()).hasSize(1);
        table.expire(PeerTable.FORGET_MILLIS + 1);
        assertThat(table.addresses()).isEmpty();
    }

    @Test
    void suspectsARouterWithALostConnectionUntilItsNextHeartbeat() {
        table.recordHeartbeat(peer(1, 1, EAST, true), 0);
        table.connectionLost(new Address("127.0.0.1", 90), 10);
        assertThat(callerIps(EAST, 10)).isEmpty();
        assertThat(table.expire(10)).isEmpty();
        table.recordHeartbeat(peer(1, 1, EAST, true), 20);
        assertThat(callerIps(EAST, 20)).hasSize(1);
    }

    /**
     * Guards against healthy routers of a fleet of 58 hosts that were suspected from time to time: heartbeat intervals
     * grow with the fleet, but the silence after which a router is suspected did not.
     */
    @Test
    void waitsLongerIfHeartbeatsAreRare() {
        table.recordHeartbeat(peer(1, 1, EAST, true, 1_200), 0);
        assertThat(callerIps(EAST, 3_000)).hasSize(1);
        assertThat(callerIps(EAST, 3_200)).isEmpty();
    }

    /**
     * Guards against placements of a healthy router that vanish from the load tables of others: standby routers
     * exchange heartbeats rarely, but the silence after which placements are removed did not grow with the heartbeat
     * interval.
     */
    @Test
    void keepsPlacementsOfARouterWithRareHeartbeats() {
        table.recordHeartbeat(peer(1, 1, EAST, true, 4_000), 0);
        assertThat(table.expire(PeerTable.DEAD_MILLIS + 1)).isEmpty();
        assertThat(table.expire(10_401)).hasSize(1);
    }

    /**
     * Guards against a dead router that counts as able to take callers for most of a minute: standby routers exchange
     * heartbeats rarely, so they must accept reports of routers that receive heartbeats often.
     */
    @Test
    void acceptsSilenceReportsAboutRoutersWithRareHeartbeats() {
        Peer standby = new Peer(
                new ProcessId(new HostId("host-9"), 1),
                EAST,
                new Address("127.0.0.9", 80),
                new Address("127.0.0.9", 90),
                true,
                1,
                1,
                100,
                0,
                false,
                12_000);
        table.recordHeartbeat(standby, 0);
        table.reportedSilent(new HostId("host-9"), PeerTable.SUSPECT_MILLIS - 1);
        assertThat(callerIps(EAST, PeerTable.SUSPECT_MILLIS)).containsExactly("127.0.0.9");
        table.reportedSilent(new HostId("host-9"), PeerTable.SUSPECT_MILLIS);
        assertThat(callerIps(EAST, PeerTable.SUSPECT_MILLIS)).isEmpty();
        assertThat(table.suspectedHosts(5, PeerTable.SUSPECT_MILLIS)).containsExactly(new HostId("host-9"));
        table.recordHeartbeat(standby, PeerTable.SUSPECT_MILLIS + 1);
        assertThat(callerIps(EAST, PeerTable.SUSPECT_MILLIS + 1)).containsExactly("127.0.0.9");
        assertThat(table.suspectedHosts(5, PeerTable.SUSPECT_MILLIS + 1)).isEmpty();
    }

    @Test
    void ignoresSilenceReportsAboutActiveAndUnknownRouters() {
        table.recordHeartbeat(peer(1, 1, EAST, true), 0);
        table.reportedSilent(new HostId("host-1"), PeerTable.SUSPECT_MILLIS - 1);
        table.reportedSilent(new HostId("host-2"), PeerTable.SUSPECT_MILLIS - 1);
        assertThat(callerIps(EAST, PeerTable.SUSPECT_MILLIS - 1)).containsExactly("127.0.0.1");
    }

    /**
     * Guards against a large fleet in which all routers take callers because each sees only a few others: standby
     * routers in different data centres exchange heartbeats every three minutes, but were removed after two.
     */
    @Test
    void keepsRoutersWithRareHeartbeats() {
        table.recordHeartbeat(peer(1, 1, EAST, true, 197_000), 0);
        table.expire(197_000);
        assertThat(table.addresses()).hasSize(1);
        table.expire(3 * 197_000);
        assertThat(table.addresses()).isEmpty();
    }
}
