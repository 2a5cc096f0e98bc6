package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.apricotstack.core.upstream.DrainScenario.Faults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What an upstream that announced its drain is still sent, in virtual time over seeds. */
class DrainScheduleTest {

    private static final int SEEDS = 10;

    /** Time within which routers in touch with each other know, in milliseconds; lost news take another 500. */
    private static final long KNOWN_MILLIS = 10;

    private static final long LOST_MILLIS = 500;

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
    void sendsNothingOnceTheAnnouncementIsKnown(DrainScenario scenario) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SeededDrains play = new SeededDrains(scenario, seed).play();
            assertThat(play.sentAfterOwnRead())
                    .as("sends after the router's own reading, seed %d", seed)
                    .isZero();
            if (scenario.faults() == Faults.NONE) {
                assertThat(play.latestMillis())
                        .as("last send after the first reading, seed %d", seed)
                        .isLessThanOrEqualTo(KNOWN_MILLIS + (scenario.lostShare() > 0 ? LOST_MILLIS : 0));
            }
        }
    }
}
