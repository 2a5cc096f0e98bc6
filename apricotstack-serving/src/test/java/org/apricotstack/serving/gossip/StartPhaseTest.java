package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StartPhaseTest {

    private static final long START = 50_000;

    private final StartPhase phase = new StartPhase(START);

    /**
     * Guards against routers that start together and place requests without each other's state updates for 1.8 s. The
     * first heartbeat says that a router is not ready yet, and the next one followed at the regular interval.
     */
    @ParameterizedTest
    @CsvSource({"1, 0, 100", "7, 0, 172", "7, 2999, 172", "7, 3000, 572", "83, 0, 1084", "83, 3000, 1484"})
    void sendsMoreHeartbeatsInTheFirstSeconds(int routers, long ageMillis, long expectedMillis) {
        assertThat(phase.heartbeatMillis(routers, START + ageMillis)).isEqualTo(expectedMillis);
    }

    @Test
    void hasPeerPlacementsOnceAllReportedOrTheStartPhaseIsOver() {
        assertThat(phase.hasPeerPlacements(1, START)).isTrue();
        assertThat(phase.hasPeerPlacements(3, START)).isFalse();
        phase.placementsReportedBy(new HostId("a"));
        phase.placementsReportedBy(new HostId("a"));
        assertThat(phase.hasPeerPlacements(3, START)).isFalse();
        assertThat(phase.hasPeerPlacements(3, START + StartPhase.START_MILLIS)).isTrue();
        phase.placementsReportedBy(new HostId("b"));
        assertThat(phase.hasPeerPlacements(3, START)).isTrue();
    }
}
