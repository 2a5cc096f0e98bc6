package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.apricotstack.core.ratelimit.LimitScenario.RouterFaults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that a rate-limited upstream receives from all routers together, in virtual time with several seeds. */
class LimitScheduleTest {

    private static final int SEEDS = 4;
    private static final double DEMAND_FACTOR = 3;

    /**
     * Bound on the requests in four seconds, in seconds of the limit; up to {@link #MAX_BURST} requests may exceed it.
     */
    private static final double MAX_LIMIT_SECONDS = 4.5;

    private static final int MAX_BURST = 3;

    /** Minimum share of a limit that must be used while there is demand. */
    private static final double MIN_USED_SHARE = 0.8;

    static Stream<LimitScenario> scenarios() {
        List<LimitScenario> scenarios = new ArrayList<>();
        for (int routers : new int[] {1, 7, 20, 95}) {
            for (double perSecond : new double[] {0.3, 1, 1.7, 10, 100}) {
                LimitScenario calm = LimitScenario.calm(routers, perSecond, DEMAND_FACTOR);
                scenarios.add(calm);
                scenarios.add(calm.withDemandAtOneRouter());
                if (routers > 1) {
                    scenarios.add(calm.with(0.2, RouterFaults.NONE));
                    scenarios.add(calm.with(0, RouterFaults.RESTARTS));
                    scenarios.add(calm.with(0, RouterFaults.SPLIT));
                }
            }
        }
        return scenarios.stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void staysWithinTheLimitAndUsesMostOfIt(LimitScenario scenario) {
        double used = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            LimitSimulation simulation = new LimitSimulation(scenario, seed).run();
            assertThat(simulation.maxArrivals())
                    .as("requests received within four seconds, seed %d", seed)
                    .isLessThanOrEqualTo((int) (MAX_LIMIT_SECONDS * scenario.perSecond() + MAX_BURST));
            used += simulation.usedShare() / SEEDS;
        }
        if (scenario.faults() == RouterFaults.NONE && scenario.lostShare() == 0) {
            assertThat(used).as("used share of the limit").isGreaterThanOrEqualTo(MIN_USED_SHARE);
        }
    }
}
