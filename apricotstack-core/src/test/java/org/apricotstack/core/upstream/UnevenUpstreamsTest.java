package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleBiFunction;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares routers that learn the speeds of plain upstreams with routers that do not, on the same loads. */
class UnevenUpstreamsTest {

    private static final PlainLoad LOOKUPS = new PlainLoad(3, 10, 30, 150, 1_000, 0.14);
    private static final PlainLoad READS = new PlainLoad(4, 9.7, 60, 300, 3_000, 0.14);
    private static final PlainLoad NEARLY_FULL = new PlainLoad(3, 330, 30, 150, 1_000, 0.14);

    private static final int SEEDS = 10;
    private static final long SLOW_MILLIS = 6_000;
    private static final long PERIOD_MILLIS = 20_000;
    private static final long ALWAYS_MILLIS = 1_000_000;

    private static List<PlainOutcome> play(
            PlainLoad load, boolean learns, ToDoubleBiFunction<Integer, Long> slowdown, int routers) {
        List<PlainOutcome> outcomes = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            outcomes.add(new PlainUpstreamSimulation(load, learns, slowdown, routers, seed).run());
        }
        return outcomes;
    }

    private static double shareInTime(List<PlainOutcome> outcomes) {
        return outcomes.stream()
                .mapToDouble(PlainOutcome::shareInTime)
                .average()
                .orElseThrow();
    }

    private static double p95Millis(List<PlainOutcome> outcomes) {
        return outcomes.stream().mapToLong(PlainOutcome::p95Millis).average().orElseThrow();
    }

    /** Prints the figures of docs/design/0020. */
    private static void print(
            String name, PlainLoad load, int routers, List<PlainOutcome> before, List<PlainOutcome> now) {
        System.out.printf(
                "%s per_s=%.1f routers=%d in time %.4f -> %.4f, p95 %.0f -> %.0f ms, found %.1f%n",
                name,
                load.perSecond(),
                routers,
                shareInTime(before),
                shareInTime(now),
                p95Millis(before),
                p95Millis(now),
                now.stream().mapToInt(PlainOutcome::found).average().orElseThrow());
    }

    static Stream<Arguments> loads() {
        return Stream.of(LOOKUPS, READS).flatMap(load -> Stream.of(3, 12).map(count -> Arguments.of(load, count)));
    }

    @ParameterizedTest
    @MethodSource("loads")
    void servesMoreInTimeWhileAnUpstreamTurnsSlowAndRecovers(PlainLoad load, int routers) {
        var slowdown = PlainUpstreamSimulation.slow(4, SLOW_MILLIS, PERIOD_MILLIS, 0);
        List<PlainOutcome> before = play(load, false, slowdown, routers);
        List<PlainOutcome> now = play(load, true, slowdown, routers);
        print("turns slow", load, routers, before, now);
        assertThat(shareInTime(now)).isGreaterThan(shareInTime(before) + 0.005);
        assertThat(p95Millis(now)).isLessThan(p95Millis(before));
    }

    @ParameterizedTest
    @MethodSource("loads")
    void servesMoreInTimeWithAnUpstreamThatIsSlowFromTheStart(PlainLoad load, int routers) {
        var slowdown = PlainUpstreamSimulation.slow(4, ALWAYS_MILLIS, ALWAYS_MILLIS, 0);
        List<PlainOutcome> before = play(load, false, slowdown, routers);
        List<PlainOutcome> now = play(load, true, slowdown, routers);
        print("slow from start", load, routers, before, now);
        assertThat(shareInTime(now)).isGreaterThan(shareInTime(before) + 0.02);
        assertThat(p95Millis(now)).isLessThan(p95Millis(before));
    }

    @ParameterizedTest
    @MethodSource("loads")
    void losesNothingWhenAllUpstreamsAreSlow(PlainLoad load, int routers) {
        var slowdown = PlainUpstreamSimulation.slow(4, SLOW_MILLIS, PERIOD_MILLIS, 0, 1, 2, 3);
        List<PlainOutcome> before = play(load, false, slowdown, routers);
        List<PlainOutcome> now = play(load, true, slowdown, routers);
        print("all slow", load, routers, before, now);
        assertThat(shareInTime(now)).isGreaterThan(shareInTime(before) - 0.005);
    }

    @ParameterizedTest
    @MethodSource("loads")
    void losesNothingWhenAllUpstreamsAreEquallyFast(PlainLoad load, int routers) {
        List<PlainOutcome> before = play(load, false, PlainUpstreamSimulation.even(), routers);
        List<PlainOutcome> now = play(load, true, PlainUpstreamSimulation.even(), routers);
        print("even", load, routers, before, now);
        assertThat(shareInTime(now)).isGreaterThan(shareInTime(before) - 0.002);
        assertThat(now)
                .allMatch(outcome -> outcome.found()
                        < 0.02
                                * outcome.sent().stream()
                                        .mapToInt(Integer::intValue)
                                        .sum());
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 12})
    void losesNothingNearFullLoadWhileAnUpstreamIsSlow(int routers) {
        var slowdown = PlainUpstreamSimulation.slow(4, SLOW_MILLIS, PERIOD_MILLIS, 0);
        List<PlainOutcome> before = play(NEARLY_FULL, false, slowdown, routers);
        List<PlainOutcome> now = play(NEARLY_FULL, true, slowdown, routers);
        print("nearly full", NEARLY_FULL, routers, before, now);
        assertThat(shareInTime(now)).isGreaterThan(shareInTime(before));
    }
}
