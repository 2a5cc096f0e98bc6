package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.apricotstack.core.peer.PlatformCheckers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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

    /** Share of routers to which the platform is silent beside the readers. */
    private static final double SILENCED_SHARE = 0.3;

    /** Number of routers above which heartbeats are so rare that the fleet settles later. */
    private static final int LARGE = 100;

    /** Size of the fleet that suffers losses of all kinds, and how many. */
    private static final int MIXED_ROUTERS = 20;

    private static final int MIXED_STEPS = 30;
    private static final int MIXED_STEP_MILLIS = 1_500;

    private static final int READERS = 3;
    private static final long FROZEN_MILLIS = 3_000;
    private static final long CALM_MILLIS = 20_000;

    private static VirtualFleet settled(int routers, long seed) {
        VirtualFleet fleet = new VirtualFleet(routers, seed);
        fleet.advance((routers > LARGE ? 3 : 1) * SETTLE_MILLIS + 97 * seed);
        return fleet;
    }

    private static long publish(VirtualFleet fleet) {
        fleet.platform().publish(2);
        return fleet.millisUntilInForce(2, PATIENCE_MILLIS);
    }

    /** Returns some readers, and a share of the other routers. */
    private static List<VirtualFleet.Router> readersAndOthers(VirtualFleet fleet, int maxReaders, double share) {
        List<VirtualFleet.Router> readers = fleet.readers();
        List<VirtualFleet.Router> chosen = new ArrayList<>(readers.subList(0, Math.min(maxReaders, readers.size())));
        fleet.routers().stream()
                .filter(router -> !readers.contains(router))
                .limit((long) (share * fleet.routers().size()))
                .forEach(chosen::add);
        return chosen;
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "7, 2", "58, 1", "58, 2", "58, 3", "83, 1", "83, 2", "300, 1"})
    void putsAConfigurationInForceInTimeIfThePlatformIsSilentToAllItsReaders(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            readersAndOthers(fleet, READERS, 0).forEach(fleet.platform()::silence);
            assertThat(publish(fleet)).isLessThan(PUBLICATION_BOUND_MILLIS);
        }
    }

    @ParameterizedTest
    @CsvSource({"58, 1", "58, 2", "58, 3", "58, 4", "83, 1", "83, 2", "83, 3"})
    void putsAConfigurationInForceInTimeIfThePlatformIsSilentToAThirdOfTheRoutersAndMessagesAreLost(
            int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            readersAndOthers(fleet, READERS, SILENCED_SHARE).forEach(fleet.platform()::silence);
            fleet.lose(LOSS);
            assertThat(publish(fleet)).isLessThan(PUBLICATION_BOUND_MILLIS);
        }
    }

    /** Guards against a wait that is added to the others: each one is prolonged once by a loss of its own. */
    @ParameterizedTest
    @CsvSource({"58, 1", "58, 2", "58, 3", "83, 1", "83, 2"})
    void staysWithinTheBoundIfEachWaitIsProlongedOnce(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            List<VirtualFleet.Router> readers = fleet.readers();
            readers.forEach(fleet.platform()::silence);
            fleet.advance(PlatformCheckers.CHECK_AGE_MILLIS / 2);
            fleet.stop(readers.subList(0, 1));
            fleet.loseNext(routers);
            assertThat(publish(fleet)).isLessThan(PUBLICATION_BOUND_MILLIS);
        }
    }

    @ParameterizedTest
    @CsvSource({"58, 1, 0.5", "83, 1, 0.5", "83, 2, 0.1"})
    void updatesThawedRoutersInTime(int routers, long seed, double share) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            List<VirtualFleet.Router> frozen = readersAndOthers(fleet, 2, share);
            fleet.stop(frozen);
            publish(fleet);
            fleet.advance(FROZEN_MILLIS);
            fleet.resume(frozen);
            assertThat(fleet.millisUntilInForce(2, PATIENCE_MILLIS)).isLessThan(ONE_LOSS_BOUND_MILLIS);
        }
    }

    /** Guards against a router that returns to an older configuration, or keeps one, after losses of all kinds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void neverGoesBackAndConvergesWhateverIsLostFrozenOrSilent(long seed) {
        UniformRandomProvider random = new SplitMix64(seed);
        try (VirtualFleet fleet = settled(MIXED_ROUTERS, seed)) {
            Map<VirtualFleet.Router, Long> newest = new HashMap<>();
            long version = 1;
            for (int step = 0; step < MIXED_STEPS; step++) {
                List<VirtualFleet.Router> some = new ArrayList<>(fleet.routers());
                some.removeIf(router -> random.nextDouble() < 0.7);
                switch (random.nextInt(5)) {
                    case 0 -> some.forEach(fleet.platform()::silence);
                    case 1 -> fleet.platform().answerAll();
                    case 2 -> fleet.stop(some);
                    case 3 -> fleet.resume(fleet.routers());
                    default -> fleet.lose(random.nextDouble() / 2);
                }
                version++;
                fleet.platform().publish(version);
                fleet.advance(random.nextInt(MIXED_STEP_MILLIS));
                for (VirtualFleet.Router router : fleet.routers()) {
                    long now = router.configurationVersion();
                    assertThat(now).isGreaterThanOrEqualTo(newest.getOrDefault(router, 0L));
                    newest.put(router, now);
                }
            }
            fleet.platform().answerAll();
            fleet.resume(fleet.routers());
            fleet.lose(0);
            assertThat(fleet.millisUntilInForce(version, PATIENCE_MILLIS)).isLessThan(PUBLICATION_BOUND_MILLIS);
        }
    }

    /** Guards against a checker that takes a newer configuration as evidence that it knows the upstreams too. */
    @ParameterizedTest
    @CsvSource({"58, 1", "58, 2", "83, 1"})
    void learnsOfAnUpstreamThatWasPublishedBeforeAConfigurationWhileThePlatformIsSilentToItsReaders(
            int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            readersAndOthers(fleet, READERS, 0).forEach(fleet.platform()::silence);
            fleet.platform().publishUpstream("second");
            fleet.platform().publish(2);
            fleet.advance(PUBLICATION_BOUND_MILLIS);
            assertThat(fleet.routers())
                    .filteredOn(router -> router.upstreamsListed() == 2)
                    .isNotEmpty();
        }
    }

    /** The price of the checks: while watches are silent, one call a second for the whole fleet. */
    @ParameterizedTest
    @CsvSource({"58, 1", "83, 1"})
    void makesOneCheckASecondAtMostInACalmFleet(int routers, long seed) {
        try (VirtualFleet fleet = settled(routers, seed)) {
            long before = fleet.checks();
            fleet.advance(CALM_MILLIS);
            assertThat(fleet.checks() - before).isBetween(1L, CALM_MILLIS / PlatformCheckers.CHECK_AGE_MILLIS);
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
