package org.apricotstack.core.stop;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.apricotstack.core.stop.StopScenario.Series;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What callers get while routers are stopped in series that overlap, in virtual time with several seeds. */
class StopScheduleTest {

    private static final int SEEDS = 10;

    private static final long TIMEOUT_MILLIS = 8_000;

    private static final List<Series> OVERLAPPING =
            List.of(new Series(4_000, 1, 500, 0), new Series(14_000, 2, 1_000, 0), new Series(24_000, 3, 1_400, 0));

    static Stream<StopScenario> scenarios() {
        List<StopScenario> scenarios = new ArrayList<>();
        for (int routers : new int[] {1, 6, 7}) {
            scenarios.add(new StopScenario(
                    routers + " routers, overlapping series", routers, TIMEOUT_MILLIS, OVERLAPPING, 25, 1, 0));
        }
        scenarios.add(new StopScenario("lost heartbeats", 7, TIMEOUT_MILLIS, OVERLAPPING, 25, 1, 0.2));
        scenarios.add(new StopScenario("slow upstreams", 7, TIMEOUT_MILLIS, OVERLAPPING, 25, 1.3, 0));
        scenarios.add(series("one router", new Series(5_000, 1, 0, 6)));
        scenarios.add(series("all routers at once", new Series(5_000, 7, 0, 0)));
        scenarios.add(series("all routers but one", new Series(5_000, 6, 0, 1)));
        scenarios.add(series("one after the other", new Series(5_000, 1, 4_000, 0)));
        scenarios.add(new StopScenario("short timeout", 7, 1_000, OVERLAPPING, 25, 1, 0));
        scenarios.add(new StopScenario("long timeout", 7, 60_000, OVERLAPPING, 25, 1, 0));
        return scenarios.stream();
    }

    private static StopScenario series(String name, Series series) {
        return new StopScenario(name, 7, TIMEOUT_MILLIS, List.of(series), 25, 1, 0);
    }

    static Stream<StopScenario> scenariosWithAReadyRouter() {
        return scenarios()
                .filter(scenario ->
                        scenario.name().startsWith("one ") || scenario.name().equals("all routers but one"));
    }

    @ParameterizedTest
    @MethodSource("scenariosWithAReadyRouter")
    void getsNoRequestsFromCallersThatShouldHaveForgottenTheAddress(StopScenario scenario) {
        for (int seed = 0; seed < SEEDS; seed++) {
            StopCounts counts = new StopSimulation(scenario, seed).run();
            assertThat(counts.arrivedLate).as("late, seed %d: %s", seed, counts).isZero();
        }
    }

    @Test
    void tellsCallersWhereToGoWhileAllRoutersAreStopping() {
        StopScenario scenario =
                new StopScenario("all stopping", 6, TIMEOUT_MILLIS, List.of(new Series(5_000, 1, 500, 0)), 25, 1, 0);
        for (int seed = 0; seed < SEEDS; seed++) {
            StopCounts counts = new StopSimulation(scenario, seed).run();
            assertThat(counts.emptyAnswers)
                    .as("answers without an address, seed %d: %s", seed, counts)
                    .isZero();
        }
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void endsEveryRequestThatAStoppingRouterTakes(StopScenario scenario) {
        for (int seed = 0; seed < SEEDS; seed++) {
            StopCounts counts = new StopSimulation(scenario, seed).run();
            assertThat(counts.cutAfterSignal)
                    .as("cut, seed %d: %s", seed, counts)
                    .isZero();
        }
    }
}
