package org.apricotstack.router;

import java.time.Duration;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepted configurations that are reverted on some router or never reach it. The platform may be
 * unavailable or serve an old version; routers restart with empty memory, resume after a long suspension or are
 * partitioned; invalid versions are published in between. A version may be adopted only because it is newer and valid,
 * regardless of who offers it.
 */
class ConfigurationSpreadTest {

    private static final int ROUTERS = 7;
    private static final int BLOCK = 50;
    private static final int BLOCKS = 8;
    private static final int STEPS = 100;
    private static final double FAULT_SHARE = 0.25;

    /** Returns the indices of the blocks of seeds. */
    static LongStream blocks() {
        return LongStream.range(0, BLOCKS);
    }

    @ParameterizedTest
    @MethodSource("blocks")
    void neverRevertsOnAHostThatIsNotPartitioned(long block) {
        for (long seed = block * BLOCK; seed < (block + 1) * BLOCK; seed++) {
            SpreadFleet fleet = new SpreadFleet(seed, ROUTERS, false);
            fleet.run(STEPS, FAULT_SHARE);
            assertThat(fleet.reverts()).as("seed %d", seed).isEmpty();
        }
    }

    @ParameterizedTest
    @MethodSource("blocks")
    void reachesEveryRouterWithinFourSecondsOnceFaultsHaveEnded(long block) {
        for (long seed = block * BLOCK; seed < (block + 1) * BLOCK; seed++) {
            SpreadFleet fleet = new SpreadFleet(seed, ROUTERS, true);
            fleet.run(STEPS, FAULT_SHARE);
            fleet.settle();
            fleet.advance(Duration.ofSeconds(12));
            long last = fleet.settle();
            fleet.advance(Duration.ofSeconds(4));
            for (SpreadNode node : fleet.nodes()) {
                assertThat(node.checkVersion())
                        .as("%s, seed %d", node.process(), seed)
                        .isEqualTo(last);
                assertThat(node.isServing())
                        .as("%s serves, seed %d", node.process(), seed)
                        .isTrue();
            }
        }
    }

    /**
     * Guards against a new router that serves an old configuration. The platform is stale, and a router restarts while
     * its peers respond slowly, so that the old version of the platform arrives first. The first version that arrives
     * must not be taken for the newest.
     */
    @ParameterizedTest
    @MethodSource("blocks")
    void doesNotServeTheOldVersionOfAStalePlatformOnANewRouter(long seed) {
        SpreadFleet fleet = new SpreadFleet(seed, ROUTERS, false);
        fleet.advance(Duration.ofSeconds(5));
        fleet.platform().becomeStale();
        fleet.publishPastStale();
        fleet.restartWhilePeersAreSlow(Duration.ofMillis(1_400));
        fleet.advance(Duration.ofSeconds(5));
        assertThat(fleet.reverts()).isEmpty();
        assertThat(fleet.nodes()).allMatch(SpreadNode::isServing);
    }

    @Test
    void callsThePlatformSeldomWhenAllRoutersStartAtOnce() {
        SpreadFleet fleet = new SpreadFleet(1, 60, false);
        fleet.advance(Duration.ofSeconds(10));
        // Two document sets: first calls of each router, then long polls of six watchers, five seconds each.
        assertThat(fleet.platform().calls()).isLessThan(60 * 2 * 3 + 6 * 2 * 3);
        assertThat(fleet.nodes()).allMatch(SpreadNode::isServing);
    }
}
