package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlainUpstreamSelectorTest {

    private static final int CHOICES = 10_000;

    /** Guards against choices that change where no upstream is slow. */
    @Test
    void choosesEvenlyFastUpstreamsByInFlightFailuresAndDistanceOnly() {
        Random random = new Random(1);
        for (int choice = 0; choice < CHOICES; choice++) {
            List<PlainCandidate> candidates = new ArrayList<>();
            UpstreamId expected = null;
            double lowest = Double.MAX_VALUE;
            for (int i = 0; i < 5; i++) {
                UpstreamId id = new UpstreamId("upstream-" + i);
                int inFlight = random.nextInt(4);
                double failure = random.nextBoolean() ? 0 : random.nextDouble();
                boolean near = random.nextBoolean();
                double cost = inFlight + 12 * failure + (near ? 0 : 0.6);
                expected = cost < lowest ? id : expected;
                lowest = Math.min(lowest, cost);
                candidates.add(new PlainCandidate(id, inFlight, failure, near, 1, random.nextInt(1_000)));
            }
            assertThat(PlainUpstreamSelector.select(candidates, random.nextInt(1_000)))
                    .isEqualTo(expected);
        }
    }

    @Test
    void choosesASlowUpstreamOnceTheOthersWouldTakeLonger() {
        PlainCandidate slow = candidate("slow", 0, 4);
        assertThat(PlainUpstreamSelector.select(List.of(slow, candidate("busy", 2, 1)), 1_000))
                .isEqualTo(new UpstreamId("busy"));
        assertThat(PlainUpstreamSelector.select(List.of(slow, candidate("busy", 4, 1)), 1_000))
                .isEqualTo(slow.id());
    }

    @Test
    void choosesNoUpstreamThatAnswersTooLateIfAnotherIsAvailable() {
        List<PlainCandidate> candidates = List.of(candidate("slow", 0, 4), candidate("busy", 4, 1));
        assertThat(PlainUpstreamSelector.select(candidates, 100)).isEqualTo(new UpstreamId("busy"));
        assertThat(PlainUpstreamSelector.select(candidates.subList(0, 1), 100)).isEqualTo(new UpstreamId("slow"));
        assertThat(PlainUpstreamSelector.select(List.of(), 100)).isNull();
    }

    /** Guards against requests to an upstream that fails while a slow one would answer just after the deadline. */
    @ParameterizedTest
    @CsvSource({"0, 0, true", "0, 0.14, true", "0, 0.14, false", "1, 0, true", "0, 0.8, true"})
    void choosesAnUpstreamThatAnswersTooLateRatherThanAnAvoidedOne(int inFlight, double failure, boolean near) {
        UpstreamId late = new UpstreamId("late");
        PlainCandidate avoided = new PlainCandidate(new UpstreamId("avoided"), 0, 0.95, near, 1, 30);
        PlainCandidate slow = new PlainCandidate(late, inFlight, failure, near, 4, 310);
        assertThat(PlainUpstreamSelector.select(List.of(avoided, slow), 300)).isEqualTo(late);
        PlainCandidate farSlow = new PlainCandidate(late, 0, failure, false, 10, 2_000);
        assertThat(PlainUpstreamSelector.select(List.of(avoided, farSlow), 300)).isEqualTo(late);
    }

    private static PlainCandidate candidate(String name, int inFlight, double slowdown) {
        return new PlainCandidate(new UpstreamId(name), inFlight, 0, true, slowdown, 30 * slowdown);
    }
}
