package org.apricotstack.core.engine.play;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays loads in virtual time and compares ways of placing by what callers get, on the same arrivals. */
class PlacingUnderLoadTest {

    private static final int DRAWN_DEPLOYMENTS = 30;

    /** Phases of long prompts, in which the engines that write also read. */
    @ParameterizedTest
    @ValueSource(ints = {45, 54})
    void servesMoreInPhasesOfLongPromptsThanByLeastInFlight(int engines) {
        PlayedLoad load = PlayedLoads.swinging(engines);

        double today = LoadPlay.shareEarned(load, Placing.today(), 1);

        assertThat(today).isGreaterThan(LoadPlay.shareEarned(load, Placing.leastInFlight(), 1));
    }

    /** Deployments that no figure was chosen for: other engines, lengths, mixes, targets and swings. */
    @Test
    void servesMoreOverDrawnDeploymentsThanOtherWays() {
        double today = meanOverDrawn(Placing.today());

        List<Placing.Maker> others = List.of(Placing.leastInFlight(), Placing.inTurn());
        assertThat(others).allSatisfy(other -> assertThat(today).isGreaterThan(meanOverDrawn(other)));
    }

    private static double meanOverDrawn(Placing.Maker maker) {
        return LongStream.rangeClosed(1, DRAWN_DEPLOYMENTS)
                .mapToDouble(seed -> LoadPlay.shareEarned(PlayedLoads.drawn(seed), maker, 1))
                .average()
                .orElseThrow();
    }
}
