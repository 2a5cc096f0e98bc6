package org.apricotstack.core.upstream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates routers from which an upstream requests overlapping back-offs, in virtual time with several seeds. */
class BackOffScheduleTest {

    private static final int SEEDS = 20;

    @ParameterizedTest
    @CsvSource({"1, 300", "1, 3000", "7, 3000", "30, 3000", "95, 20000"})
    void sendsNothingDuringABackOffAndResumesAtItsEnd(int routers, long maxBackOffMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            BackOffSimulation simulation = new BackOffSimulation(routers, maxBackOffMillis, seed).run();
            assertThat(simulation.arrivedDuringBackOff())
                    .as("requests received during a back-off, seed %d", seed)
                    .isZero();
            assertThat(simulation.heldBackNeedlessly())
                    .as("requests held back without a back-off in force, seed %d", seed)
                    .isZero();
        }
    }
}
