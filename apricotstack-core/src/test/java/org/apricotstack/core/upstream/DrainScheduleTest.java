package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.apricotstack.core.upstream.DrainScenario.Faults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that are still sent to an upstream after it announced a drain, in virtual time with several seeds. */
class DrainScheduleTest {

    private static final int SEEDS = 10;

    /** Time in which an announcement reaches all connected routers, in milliseconds. */
    private static final long PROPAGATION_MILLIS = 10;

    /** Additional time if gossip messages are lost and the full state has to replace them, in milliseconds. */
    private static final long FULL_STATE_DELAY_MILLIS = 500;

    static Stream<DrainScenario> scenarios() {
        List<DrainScenario> scenarios = new ArrayList<>();
        for (int routers : new int[] {1, 7, 30, 95}) {
            double perSecond = 20 * routers;
            for (Faults faults : Faults.values()) {
                scenarios.add(new DrainScenario(routers, perSecond, 0, faults));
            }
            scenarios.add(new DrainScenario(routers, perSecond, 0.2, Faults.NONE));
        }
        return scenarios.stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void sendsNothingAfterTheAnnouncementIsReceived(DrainScenario scenario) {
        for (int seed = 0; seed < SEEDS; seed++) {
            DrainSimulation simulation = new DrainSimulation(scenario, seed).run();
            assertThat(simulation.sentAfterOwnNotice())
                    .as("sent after the router itself received the announcement, seed %d", seed)
                    .isZero();
            if (scenario.faults() == Faults.NONE) {
                assertThat(simulation.lastSendDelayMillis())
                        .as("last send after the first announcement was received, seed %d", seed)
                        .isLessThanOrEqualTo(
                                PROPAGATION_MILLIS + (scenario.lostShare() > 0 ? FULL_STATE_DELAY_MILLIS : 0));
            }
        }
    }
}
