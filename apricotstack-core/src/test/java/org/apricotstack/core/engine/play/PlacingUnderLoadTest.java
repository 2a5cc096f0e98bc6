package org.apricotstack.core.engine.play;

import java.util.List;
import java.util.stream.LongStream;

import org.apricotstack.core.engine.PlacementCaution;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays loads in virtual time and compares ways of placing by what callers get, on the same arrivals. */
class PlacingUnderLoadTest {

    /**
     * More in hand for pauses, a price of engines only when more than half of them are in use, and a prompt that can
     * wait no longer is placed whatever others lose by it.
     */
    private static final Placing.Maker WHATEVER_IT_COSTS = Placing.withoutRefusals(new PlacementCaution(0.1, 0.55));

    private static final int SEEDS = 4;

    private static final int DRAWN_DEPLOYMENTS = 30;

    /**
     * Phases of long prompts, in which the engines that write also read. Share of the worth owed that is earned: with
     * more in hand and without refusals 0.959 at 54 engines and 0.898 at 45, today 0.969 and 0.921.
     */
    @ParameterizedTest
    @ValueSource(ints = {45, 54})
    void servesMoreInPhasesOfLongPromptsThanWhateverItCosts(int engines) {
        PlayedLoad load = PlayedLoads.swinging(engines);

        double today = LoadPlay.shareEarned(load, Placing.today(), SEEDS);

        assertThat(today).isGreaterThan(LoadPlay.shareEarned(load, WHATEVER_IT_COSTS, SEEDS));
        assertThat(today).isGreaterThan(LoadPlay.shareEarned(load, Placing.leastInFlight(), 1));
    }

    /**
     * Deployments that no figure was chosen for: other engines, lengths, mixes, targets and swings. Share of the worth
     * owed that is earned: 0.747 with more in hand and without refusals, 0.782 today.
     */
    @Test
    void servesMoreOverDrawnDeploymentsThanOtherWays() {
        double today = meanOverDrawn(Placing.today());

        List<Placing.Maker> others = List.of(WHATEVER_IT_COSTS, Placing.leastInFlight(), Placing.inTurn());
        assertThat(others).allSatisfy(other -> assertThat(today).isGreaterThan(meanOverDrawn(other)));
    }

    private static double meanOverDrawn(Placing.Maker maker) {
        return LongStream.rangeClosed(1, DRAWN_DEPLOYMENTS)
                .mapToDouble(seed -> LoadPlay.shareEarned(PlayedLoads.drawn(seed), maker, 1))
                .average()
                .orElseThrow();
    }
}
