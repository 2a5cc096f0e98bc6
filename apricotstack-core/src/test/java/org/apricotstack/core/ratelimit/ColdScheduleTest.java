package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.Stream;

import org.apricotstack.core.ratelimit.ColdScenario.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that a cold upstream receives from all routers together, in virtual time with several seeds. */
class ColdScheduleTest {

    private static final int SEEDS = 4;
    private static final double DEMAND_FACTOR = 3;

    /** Demand at which a router that grants its own requests the whole rate has enough of them, as a factor. */
    private static final double HIGH_DEMAND_FACTOR = 12;

    /** Minimum share of the tolerated rate that must be used while there is demand. */
    private static final double MIN_USED_SHARE = 0.8;

    /** Time after which all routers know a cold period and earlier requests have arrived, in milliseconds. */
    private static final long LEARNT_MILLIS = 65;

    /** Time until the first router learns a cold period late, in milliseconds. */
    private static final long LATE_MILLIS = 500;

    static Stream<ColdScenario> scenarios() {
        List<ColdScenario> scenarios = new ArrayList<>();
        for (int routers : new int[] {1, 7, 20, 95}) {
            for (Fault fault : EnumSet.complementOf(EnumSet.of(Fault.ALL_STARTED_IN_A_SPLIT))) {
                double factor = fault == Fault.ONE_SIDED_ISSUER ? HIGH_DEMAND_FACTOR : DEMAND_FACTOR;
                double demand = ColdSimulation.TOLERATED_PER_SECOND * factor;
                scenarios.add(new ColdScenario(routers, demand, false, fault));
                scenarios.add(new ColdScenario(routers, demand, true, fault));
            }
        }
        return scenarios.stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void staysWithinTheBoundInEverySecondAndUsesMostOfIt(ColdScenario scenario) {
        double used = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            ColdSimulation simulation = new ColdSimulation(scenario, seed).run();
            long lateMillis = scenario.fault() == Fault.LEARNT_LATE ? LATE_MILLIS : 0;
            assertThat(simulation.maxInASecond(ColdSimulation.COLD_FROM_MILLIS + lateMillis + LEARNT_MILLIS))
                    .as("requests received in a second, seed %d", seed)
                    .isLessThanOrEqualTo(ColdSimulation.MAX_IN_A_SECOND);
            used += simulation.usedShare() / SEEDS;
            assertThat(simulation.arrivals(ColdSimulation.COLD_UNTIL_MILLIS + 500, ColdSimulation.SIMULATED_MILLIS))
                    .as("requests received once warm, seed %d", seed)
                    .isGreaterThan((long) (3.2 * ColdSimulation.TOLERATED_PER_SECOND * DEMAND_FACTOR * 0.8));
        }
        if (scenario.fault() == Fault.NONE || scenario.fault() == Fault.LEARNT_FROM_A_RESPONSE) {
            assertThat(used).as("used share of the tolerated rate").isGreaterThanOrEqualTo(MIN_USED_SHARE);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {7, 20, 95})
    void staysWithinTheBoundIfAllRoutersStartInASplit(int routers) {
        double demand = ColdSimulation.TOLERATED_PER_SECOND * HIGH_DEMAND_FACTOR;
        ColdScenario scenario = new ColdScenario(routers, demand, false, Fault.ALL_STARTED_IN_A_SPLIT);
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(new ColdSimulation(scenario, seed)
                            .run()
                            .maxInASecond(ColdSimulation.COLD_FROM_MILLIS + LEARNT_MILLIS))
                    .as("requests received in a second, seed %d", seed)
                    .isLessThanOrEqualTo(ColdSimulation.MAX_IN_A_SECOND);
        }
    }

    static Stream<ColdScenario> scenariosLearntLate() {
        return scenarios().filter(scenario -> scenario.fault() == Fault.LEARNT_LATE);
    }

    @ParameterizedTest
    @MethodSource("scenariosLearntLate")
    void grantsNoPermitsOnTopOfTheRequestsSentBeforeTheColdPeriodWasLearnt(ColdScenario scenario) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(new ColdSimulation(scenario, seed).run().maxBeforePermitted())
                    .as("requests received in a second, seed %d", seed)
                    .isLessThanOrEqualTo(ColdSimulation.MAX_IN_A_SECOND);
        }
    }
}
