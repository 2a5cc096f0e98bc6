package org.apricotstack.core.upstream;

import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares routers that know the data centres of reports with routers that do not, on the same loads. */
class ZoneFailureTest {

    private static final int SEEDS = 20;

    /** The upstream fails for one data centre. */
    private static final BiPredicate<Integer, Long> ONE = (index, millis) -> index == 0 && isWithin(millis, 5, 20);

    /** The upstream fails for all. */
    private static final BiPredicate<Integer, Long> ALL = (index, millis) -> isWithin(millis, 5, 20);

    /** The upstream fails for one data centre and later for all. */
    private static final BiPredicate<Integer, Long> ONE_THEN_ALL =
            (index, millis) -> isWithin(millis, index == 0 ? 5 : 12, 20);

    /** The upstream fails for all three times, and is well in between. */
    private static final BiPredicate<Integer, Long> REPEATED =
            (index, millis) -> isWithin(millis, 5, 8) || isWithin(millis, 11, 14) || isWithin(millis, 17, 20);

    private static boolean isWithin(long millis, int fromSeconds, int untilSeconds) {
        return millis >= fromSeconds * 1_000L && millis < untilSeconds * 1_000L;
    }

    private static double mean(
            boolean names,
            BiPredicate<Integer, Long> fails,
            FailureKind kind,
            double share,
            long newsMillis,
            double lost,
            ToDoubleFunction<ZoneFailureSimulation> figure) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new ZoneFailureSimulation(names, fails, kind, share, newsMillis, lost, seed).run())
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    /** Guards against an upstream that stands idle because it fails for the callers of one data centre. */
    @ParameterizedTest
    @CsvSource({"0.4, 5, 0", "1, 5, 0", "1, 500, 0", "1, 5, 0.5", "1, 500, 0.5"})
    void otherDataCentresKeepUsingAnUpstreamThatFailsForOne(double share, long newsMillis, double lost) {
        FailureKind kind = FailureKind.SILENT;
        double before = mean(false, ONE, kind, share, newsMillis, lost, ZoneFailureSimulation::wronglyAvoidedShare);
        double now = mean(true, ONE, kind, share, newsMillis, lost, ZoneFailureSimulation::wronglyAvoidedShare);
        double failedBefore = mean(false, ONE, kind, share, newsMillis, lost, ZoneFailureSimulation::failed);
        double failedNow = mean(true, ONE, kind, share, newsMillis, lost, ZoneFailureSimulation::failed);
        System.out.printf(
                "one data centre %s %.1f news %d ms lost %.1f: wrongly avoided %.3f -> %.3f, failed %.1f -> %.1f%n",
                kind, share, newsMillis, lost, before, now, failedBefore, failedNow);
        assertThat(now).isLessThan(0.6 * before);
        assertThat(failedNow).isLessThan(1.1 * failedBefore + 1);
    }

    /** Guards against routers that find an outage later because they doubt the reports of other data centres. */
    @ParameterizedTest
    @CsvSource({"SILENT, 5, 0", "NO_CONNECTION, 5, 0", "NO_CONNECTION, 500, 0", "NO_CONNECTION, 5, 0.5", "ERROR, 5, 0"})
    void allDataCentresFindAnOutageAsFastAsBefore(FailureKind kind, long newsMillis, double lost) {
        double before = mean(false, ALL, kind, 1, newsMillis, lost, ZoneFailureSimulation::failed);
        double now = mean(true, ALL, kind, 1, newsMillis, lost, ZoneFailureSimulation::failed);
        System.out.printf("outage %s news %d ms lost %.1f: failed %.1f -> %.1f%n", kind, newsMillis, lost, before, now);
        assertThat(now).isEqualTo(before);
    }

    /** Guards against many more failed attempts of routers that had reason to doubt reports before an outage. */
    @ParameterizedTest
    @CsvSource({"SILENT, 5, 0", "NO_CONNECTION, 5, 0", "NO_CONNECTION, 500, 0.5"})
    void findsAnOutageThatFollowsDoubtfulReports(FailureKind kind, long newsMillis, double lost) {
        for (BiPredicate<Integer, Long> fails : List.of(ONE_THEN_ALL, REPEATED)) {
            double before = mean(false, fails, kind, 1, newsMillis, lost, ZoneFailureSimulation::failed);
            double now = mean(true, fails, kind, 1, newsMillis, lost, ZoneFailureSimulation::failed);
            System.out.printf(
                    "outage after doubt %s news %d ms lost %.1f: failed %.1f -> %.1f%n",
                    kind, newsMillis, lost, before, now);
            assertThat(now).isLessThan(before + 2);
        }
    }
}
