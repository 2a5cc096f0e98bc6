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
     * Symptom: routers that start together place without each other's news for 1.8 s. Sequence: the first heartbeat
     * says that a router is not ready yet, the next one follows at the usual pace. Cause: that pace.
     */
    @ParameterizedTest
    @CsvSource({"1, 0, 100", "7, 0, 172", "7, 2999, 172", "7, 3000, 572", "83, 0, 1084", "83, 3000, 1484"})
    void hurriesToBeHeardInTheFirstSeconds(int routers, long ageMillis, long expectedMillis) {
        assertThat(phase.heartbeatMillis(routers, START + ageMillis)).isEqualTo(expectedMillis);
    }

    @Test
    void hasHeardTheOthersOnceAllOfThemToldOrTimeIsOver() {
        assertThat(phase.hasPeerPlacements(1, START)).isTrue();
        assertThat(phase.hasPeerPlacements(3, START)).isFalse();
        phase.toldBy(new HostId("a"));
        phase.toldBy(new HostId("a"));
        assertThat(phase.hasPeerPlacements(3, START)).isFalse();
        assertThat(phase.hasPeerPlacements(3, START + StartPhase.YOUNG_MILLIS)).isTrue();
        phase.toldBy(new HostId("b"));
        assertThat(phase.hasPeerPlacements(3, START)).isTrue();
    }
}
