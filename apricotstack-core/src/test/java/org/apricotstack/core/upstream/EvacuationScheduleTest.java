package org.apricotstack.core.upstream;

import org.apricotstack.core.upstream.EvacuationSimulation.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Evacuations of two data centres over up to 95 routers, in virtual time. */
class EvacuationScheduleTest {

    /** Time within which each router in touch obeys, in milliseconds. */
    private static final long BOUND_MILLIS = 5_000;

    private static final int SEEDS = 20;

    /** Guards against routers that use an evacuated data centre, or spare one that is no longer evacuated. */
    @ParameterizedTest
    @CsvSource({
        "1, NONE",
        "7, NONE",
        "30, NONE",
        "95, NONE",
        "1, RESTARTS",
        "7, RESTARTS",
        "30, RESTARTS",
        "95, RESTARTS",
        "7, SPLIT",
        "30, SPLIT",
        "95, SPLIT",
        "1, PLATFORM_LOST",
        "7, PLATFORM_LOST",
        "30, PLATFORM_LOST",
        "95, PLATFORM_LOST"
    })
    void obeysEachChangeInTime(int routers, Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertThat(new EvacuationSimulation(routers, fault, seed).run().longestDisobeyedMillis())
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(BOUND_MILLIS);
        }
    }
}
