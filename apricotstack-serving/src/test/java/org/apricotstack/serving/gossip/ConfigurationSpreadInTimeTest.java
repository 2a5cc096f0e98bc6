package org.apricotstack.serving.gossip;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests, in virtual time, how long after its publication a configuration is in force at all routers. */
class ConfigurationSpreadInTimeTest {

    /** Time in which a fleet has settled after its start, in milliseconds. */
    private static final long SETTLE_MILLIS = 15_000;

    /** Bound from the publication to the last router, in milliseconds. */
    private static final long PUBLICATION_BOUND_MILLIS = 3_000;

    /** Bounds from the first router that knows a version to the last one, in milliseconds. */
    private static final long CALM_BOUND_MILLIS = 300;

    private static final long ONE_LOSS_BOUND_MILLIS = 1_000;
    private static final long TWO_LOSSES_BOUND_MILLIS = 1_500;

    private static final long PATIENCE_MILLIS = 8_000;

    /** Share of lost datagrams and fetches. */
    private static final double LOSS = 0.05;

    private static VirtualFleet settled(int routers, long seed) {
        VirtualFleet fleet = new VirtualFleet(routers, seed);
        fleet.advance(SETTLE_MILLIS + 97 * seed);
        return fleet;
    }

    private static long publish(VirtualFleet fleet) {
        fleet.platform().publish(2);
        return fleet.millisUntilInForce(2, PATIENCE_MILLIS);
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "7, 2", "58, 1", "58, 2", "58, 3", "83, 1", "83, 2", "300, 1"})
    void putsAConfigurationInForceInTimeIfThePlatformIsSilentToAllItsReaders(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            List<VirtualFleet.Router> readers = fleet.readers();
            readers.subList(0, Math.min(3, readers.size())).forEach(fleet.platform()::silence);
            assertThat(publish(fleet)).isLessThan(PUBLICATION_BOUND_MILLIS);
        }
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "58, 1", "58, 2", "58, 3", "83, 1", "83, 2", "300, 1"})
    void spreadsAConfigurationWithoutWaitsIfNothingIsLost(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            assertThat(publish(fleet)).isLessThan(CALM_BOUND_MILLIS);
        }
    }

    @ParameterizedTest
    @CsvSource({"58, 1", "58, 2", "58, 3", "83, 1", "83, 2", "300, 1"})
    void spreadsAConfigurationInTimeIfAReaderIsLost(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            fleet.stop(fleet.readers().subList(0, 1));
            assertThat(publish(fleet)).isLessThan(ONE_LOSS_BOUND_MILLIS);
        }
    }

    @ParameterizedTest
    @CsvSource({"58, 1", "58, 2", "83, 1", "83, 2", "300, 1"})
    void spreadsAConfigurationInTimeIfTheReadersOfTwoDataCentresAreLost(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            fleet.stop(fleet.readers().subList(0, 2));
            assertThat(publish(fleet)).isLessThan(TWO_LOSSES_BOUND_MILLIS);
        }
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "58, 1", "58, 2", "58, 3", "83, 1", "83, 2", "300, 1"})
    void spreadsAConfigurationInTimeIfDatagramsAndFetchesAreLost(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            fleet.lose(LOSS);
            assertThat(publish(fleet)).isLessThan(TWO_LOSSES_BOUND_MILLIS);
        }
    }
}
