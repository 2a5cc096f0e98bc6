package org.apricotstack.core.retry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WindowedRetryBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;

    /**
     * Guards against overloading the remaining upstreams when many upstreams fail and seven routers retry every
     * request: each router used the budget of the whole fleet.
     */
    @Test
    void keepsAllRoutersTogetherWithinTheBudgetOfAWindow() {
        int routers = 7;
        WindowedRetryBudget[] budgets = new WindowedRetryBudget[routers];
        for (int i = 0; i < routers; i++) {
            budgets[i] = new WindowedRetryBudget(0.2, WINDOW_MILLIS, () -> 100.0 / routers);
        }
        int spent = 0;
        for (long now = 0; now < WINDOW_MILLIS; now += 50) {
            for (WindowedRetryBudget budget : budgets) {
                budget.request(now);
                spent += budget.trySpend(now) ? 1 : 0;
            }
        }
        int requests = (int) (routers * WINDOW_MILLIS / 50);
        assertThat(spent).isLessThanOrEqualTo((int) (0.2 * requests + 100)).isGreaterThan(200);
    }

    @Test
    void ignoresRetriesBeforeTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0.2, WINDOW_MILLIS, () -> 2);
        assertThat(budget.trySpend(0)).isTrue();
        assertThat(budget.trySpend(1)).isFalse();
        assertThat(budget.trySpend(WINDOW_MILLIS)).isTrue();
    }
}
