package org.apricotstack.core.retry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRetryBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;

    /**
     * Guards against overloading the remaining upstreams when many upstreams fail and seven routers retry every
     * request: each router used the budget of the whole fleet.
     */
    @Test
    void keepsAllRoutersTogetherWithinTheBudgetOfAWindow() {
        int routers = 7;
        FleetRetryBudget[] budgets = new FleetRetryBudget[routers];
        for (int i = 0; i < routers; i++) {
            budgets[i] = new FleetRetryBudget(0.2, WINDOW_MILLIS, () -> 100.0 / routers);
        }
        int spent = 0;
        for (long now = 0; now < WINDOW_MILLIS; now += 50) {
            for (FleetRetryBudget budget : budgets) {
                budget.request(now);
                spent += budget.trySpend(now) ? 1 : 0;
            }
        }
        int requests = (int) (routers * WINDOW_MILLIS / 50);
        assertThat(spent).isLessThanOrEqualTo((int) (0.2 * requests + 100)).isGreaterThan(200);
    }

    @Test
    void startsEmptyAndRefillsItsShareWithinAWindow() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, WINDOW_MILLIS, () -> 4.3);
        assertThat(budget.trySpend(0)).isFalse();
        assertThat(budget.trySpend(WINDOW_MILLIS / 4)).isFalse();
        assertThat(budget.trySpend(WINDOW_MILLIS)).isTrue();
        assertThat(budget.trySpend(WINDOW_MILLIS)).isTrue();
        assertThat(budget.trySpend(WINDOW_MILLIS)).isFalse();
    }

    @Test
    void accumulatesNoMoreThanItsCapacity() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, WINDOW_MILLIS, () -> 20);
        for (int i = 0; i < 1_000; i++) {
            budget.request(100 * WINDOW_MILLIS);
        }
        assertThat(budget.left(200 * WINDOW_MILLIS)).isLessThanOrEqualTo(10);
    }

    @Test
    void appliesAShareThatHasGrownOnlyToTheTimeAfterwards() {
        double[] share = {0};
        FleetRetryBudget budget = new FleetRetryBudget(0.2, WINDOW_MILLIS, () -> share[0]);
        assertThat(budget.left(0)).isZero();
        share[0] = 20;
        assertThat(budget.left(WINDOW_MILLIS)).isZero();
        assertThat(budget.left(2 * WINDOW_MILLIS)).isPositive();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.1, 1})
    void allowsTheRatioOfARouterWithoutSlack(double share) {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, WINDOW_MILLIS, () -> share);
        int spent = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.request(i);
            spent += budget.trySpend(i) ? 1 : 0;
        }
        assertThat(spent).isBetween(180, 200);
    }
}
