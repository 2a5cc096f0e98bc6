package org.apricotstack.core.retry;

import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetScheduleTest {

    private static final long END_MILLIS = 60_000;

    private static final int SEEDS = 10;

    /** Guards against retries beyond the fleet's budget after restarts, partitions and stalls of routers. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 17, 40, 95})
    void keepsTheFleetWithinItsBudgetInEveryWindowWhateverHappensToRouters(int routers) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RetryBudgetScenario scenario = randomScenario(routers, seed);
            double excess = new RetryBudgetSimulation(scenario, seed).play().worstExcess();
            assertThat(excess).as("seed %d, %s", seed, scenario).isLessThanOrEqualTo(0);
        }
    }

    /** Guards against a new share of the budget for each of the processes that follow each other on a host. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 95})
    void keepsTheFleetWithinItsBudgetWhenAllRoutersAreKilledEveryTwoSeconds(int routers) {
        RetryBudgetScenario scenario =
                new RetryBudgetScenario(routers, 25.0 * routers, 8_000, END_MILLIS, 0.5, 0, 0, 0, 0);
        assertThat(new RetryBudgetSimulation(scenario, routers).play().worstExcess())
                .isLessThanOrEqualTo(0);
    }

    private static RetryBudgetScenario randomScenario(int routers, long seed) {
        Random random = new Random(100 + seed);
        return new RetryBudgetScenario(
                routers,
                (2 + 30 * random.nextDouble()) * routers,
                4_000 + random.nextInt(40_000),
                END_MILLIS,
                random.nextBoolean() ? 0.5 * random.nextDouble() : 0,
                random.nextBoolean() ? 0.5 * random.nextDouble() : 0,
                random.nextBoolean() ? 0.3 * random.nextDouble() : 0,
                random.nextBoolean() ? 0.3 * random.nextDouble() : 0,
                random.nextBoolean() ? 0.1 * random.nextDouble() : 0);
    }
}
