package org.apricotstack.core.upstream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What an upstream gets from routers that it asked for back-offs which overlap, in virtual time over seeds. */
class BackOffScheduleTest {

    private static final int SEEDS = 20;

    @ParameterizedTest
    @CsvSource({"1, 300", "1, 3000", "7, 3000", "30, 3000", "95, 20000"})
    void sendsNothingInABackOffAndBeginsAgainAtOnce(int routers, long mostRestMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SeededBackOffs play = new SeededBackOffs(routers, mostRestMillis, seed).play();
            assertThat(play.arrivedInRest()).as("arrivals, seed %d", seed).isZero();
            assertThat(play.refusedInVain())
                    .as("held back in vain, seed %d", seed)
                    .isZero();
        }
    }
}
