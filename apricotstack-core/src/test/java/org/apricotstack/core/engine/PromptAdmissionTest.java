package org.apricotstack.core.engine;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PromptAdmissionTest {

    private static final int ENGINES = 8;

    private static final long LONG_TOKENS = 280_000;

    @ParameterizedTest
    @CsvSource({"0, false", "0.99, false", "1.01, true", "3, true"})
    void findsAChoiceExpensiveOnceOthersLoseMoreThanItsValue(double costRatio, boolean expensive) {
        double costToOthers = costRatio * PromptValue.of(LONG_TOKENS);
        PlacementChoice choice = new PlacementChoice(List.of(), 1_000, 0, costToOthers, costToOthers, false);

        assertThat(PromptAdmission.isExpensive(choice, LONG_TOKENS)).isEqualTo(expensive);
    }

    /**
     * A prompt of a million tokens arrives in a small fleet and will be late anyway. When a prompt that could wait no
     * longer was placed whatever it cost others, it took five engines for ten seconds each; its router was killed, the
     * caller repeated it, and it took four more engines. Short prompts were late or refused for eight seconds.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 7.9, false",
        "0, 8.1, true",
        "0.75, 1.9, false",
        "0.75, 2.1, true",
        "1.2, 0.9, true",
        "1.2, 0.7, false"
    })
    void refusesAPromptThatCostsOthersSeveralTimesItsRemainingValue(
            double ownLossRatio, double costRatio, boolean refused) {
        double value = PromptValue.of(LONG_TOKENS);
        double costToOthers = costRatio * value;
        PlacementChoice choice =
                new PlacementChoice(List.of(), 9_000, 0, costToOthers + ownLossRatio * value, costToOthers, false);

        assertThat(PromptAdmission.isRefused(choice, LONG_TOKENS)).isEqualTo(refused);
    }

    /**
     * All engines have just failed, so that an answer from any of them is unlikely, and the caller has waited past its
     * target. If nothing of the prompt's value remained, the cost of an engine's position alone would refuse it beside
     * idle engines.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 45_000, LONG_TOKENS})
    void usesIdleEnginesThatAreLikelyToFail(long promptTokens) {
        EngineLoadTable loadTable = EngineTestData.loadTable(ENGINES);
        List<EngineCandidate> failing = EngineTestData.candidates(loadTable, ENGINES).stream()
                .map(engine -> new EngineCandidate(engine.engine(), engine.load(), 0.95, true))
                .toList();

        PlacementChoice choice = new EnginePlacer(EngineTestData.PROFILE)
                .choose(new PromptRequest(promptTokens, 800, 1, 1_000, 10_800, 5_000), failing, 0);

        assertThat(choice.found()).isTrue();
        assertThat(PromptAdmission.isRefused(choice, promptTokens)).isFalse();
    }

    /** Callers wait 10 s for the first event; decoding the answer takes 2.5 s. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 15000, true",
        "1000, 2900, 15000, true",
        "1000, 3100, 15000, false",
        "4100, 0, 15000, false",
        "1000, 0, 3400, false",
        "0, 3000, 2600, true"
    })
    void letsAPromptWaitWhileItsCallerStaysAndItsAnswerCanBeDecoded(
            double predictedMillis, long waitedMillis, long remainingMillis, boolean allowed) {
        assertThat(PromptAdmission.mayWait(predictedMillis, waitedMillis, 10_000, remainingMillis))
                .isEqualTo(allowed);
    }
}
