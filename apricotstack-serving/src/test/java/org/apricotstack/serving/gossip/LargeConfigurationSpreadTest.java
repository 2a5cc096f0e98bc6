package org.apricotstack.serving.gossip;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests, in virtual time, how long a large configuration takes to all routers if all of them have narrow links. */
class LargeConfigurationSpreadTest {

    private static final int SETTLE_MILLIS = 16_000;
    private static final int WAIT_MILLIS = 15_000;
    private static final int KIB = 1024;

    /** Time from the publication of a configuration until it has to be in force, in milliseconds. */
    private static final long IN_FORCE_MILLIS = 3_000;

    /** Rates of most links of a router, and of the platform's, in megabits per second. */
    private static final double MEGABITS = 14;

    private static final double PLATFORM_MEGABITS = 1_000;

    /** Guards against a large configuration that is late because routers ask and answer each other too often. */
    @ParameterizedTest
    @CsvSource({"20, 400", "76, 100"})
    void spreadsALargeConfigurationInTime(int size, int kib) {
        try (VirtualFleet fleet = new VirtualFleet(size, size)) {
            fleet.limitLinks(MEGABITS, PLATFORM_MEGABITS);
            fleet.advance(SETTLE_MILLIS);
            fleet.platform().enlargeConfigurations(kib * KIB);
            fleet.platform().publish(2);
            long millis = fleet.millisUntilInForce(2, WAIT_MILLIS);
            assertThat(millis).isLessThan(IN_FORCE_MILLIS);
        }
    }

    /** Guards against the same for larger configurations and fleets. */
    @ParameterizedTest
    @CsvSource({"76, 400", "95, 400", "76, 800"})
    void spreadsALargeConfigurationToManyRoutersInTime(int size, int kib) {
        spreadsALargeConfigurationInTime(size, kib);
    }
}
