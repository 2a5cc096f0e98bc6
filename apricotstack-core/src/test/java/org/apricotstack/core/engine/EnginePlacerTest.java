package org.apricotstack.core.engine;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.apricotstack.core.engine.EngineTestData.candidates;
import static org.apricotstack.core.engine.EngineTestData.engine;
import static org.apricotstack.core.engine.EngineTestData.loadTable;
import static org.apricotstack.core.engine.EngineTestData.placement;
import static org.apricotstack.core.engine.EngineTestData.request;
import static org.assertj.core.api.Assertions.assertThat;

class EnginePlacerTest {

    private static final int ENGINES = 8;

    private final EnginePlacer placer = new EnginePlacer(EngineTestData.PROFILE);
    private final EngineLoadTable loadTable = loadTable(ENGINES);

    private PlacementChoice choose(long tokens) {
        return placer.choose(request(tokens), candidates(loadTable, ENGINES), 0);
    }

    private void decode(long tokens, int engine) {
        EnginePlacement placement = placement(tokens, engine);
        loadTable.place(placement, 0, 60_000);
        loadTable.startDecoding(placement.id(), 0);
    }

    private static List<UpstreamId> engines(PlacementChoice choice) {
        return choice.parts().stream().map(EnginePart::engine).toList();
    }

    @Test
    void startsWithTheFirstEngineForShortPromptsAndTheLastForLongOnes() {
        assertThat(engines(choose(4_000))).containsExactly(engine(0));
        assertThat(engines(choose(60_000))).contains(engine(ENGINES - 1)).doesNotContain(engine(0));
    }

    /**
     * A batch step lasts as long as the prefill in it. In the busy part of a day, long prompts arrived while short
     * answers were being decoded, were placed on the same engines, and the short streams had token gaps of over a
     * second.
     */
    @ParameterizedTest
    @ValueSource(longs = {45_000, 150_000, 280_000})
    void keepsLongPrefillOffEnginesThatDecodeShortAnswers(long tokens) {
        for (int i = 0; i < 12; i++) {
            decode(4_000, i % 2);
        }
        assertThat(engines(choose(tokens))).isNotEmpty().doesNotContain(engine(0), engine(1));
    }

    @Test
    void growsTheShortPoolWithTheNumberOfShortPrompts() {
        assertThat(EnginePlacer.shortPoolSize(candidates(loadTable, ENGINES))).isEqualTo(2);
        for (int i = 0; i < 30; i++) {
            decode(4_000, i % 4);
        }
        assertThat(EnginePlacer.shortPoolSize(candidates(loadTable, ENGINES))).isEqualTo(6);
    }

    @Test
    void sharesAPrefillThatOneEngineWouldFinishLate() {
        PlacementChoice choice = choose(299_000);
        assertThat(choice.parts().size()).isGreaterThan(1);
        assertThat(choice.firstTokenMillis()).isLessThan(1_000);
    }

    @Test
    void reservesMemoryForAPromptBeyondOneEnginesMemory() {
        PlacementChoice choice = choose(700_000);
        assertThat(choice.reservesMemory()).isTrue();
        assertThat(choice.parts().stream().mapToLong(EnginePart::memoryTokens).sum())
                .isGreaterThanOrEqualTo(700_800);
        assertThat(choice.parts())
                .allSatisfy(part -> assertThat(part.memoryTokens()).isLessThanOrEqualTo(288_000));
    }

    /**
     * Some engines do not answer reservations. When memory was reserved on them again and again, prompts that need the
     * memory of several engines failed one after the other.
     */
    @Test
    void reservesNoMemoryOnEnginesThatAreNotReservable() {
        List<EngineCandidate> some = candidates(loadTable, ENGINES).stream()
                .map(candidate -> new EngineCandidate(
                        candidate.engine(),
                        candidate.load(),
                        0,
                        candidate.engine().compareTo(engine(4)) < 0))
                .toList();
        PlacementChoice choice = placer.choose(request(700_000), some, 0);
        assertThat(choice.parts().subList(1, choice.parts().size())).allSatisfy(part -> assertThat(
                        part.memoryTokens() > 0 && part.engine().compareTo(engine(4)) >= 0)
                .isFalse());
    }

    @Test
    void usesNoHelperThatMayNotHelp() {
        List<EngineCandidate> some = candidates(loadTable, ENGINES).stream()
                .map(candidate -> new EngineCandidate(
                        candidate.engine(),
                        candidate.load(),
                        0,
                        true,
                        candidate.engine().compareTo(engine(4)) < 0))
                .toList();
        PlacementChoice choice = placer.choose(request(154_000), some, 0);
        assertThat(choice.parts()).hasSizeGreaterThan(1);
        assertThat(choice.parts().subList(1, choice.parts().size()))
                .allSatisfy(part -> assertThat(part.engine()).isLessThan(engine(4)));
    }

    @Test
    void avoidsAnEngineThatIsLikelyToFail() {
        List<EngineCandidate> candidates = candidates(loadTable, ENGINES).stream()
                .map(candidate -> candidate.engine().equals(engine(0))
                        ? new EngineCandidate(candidate.engine(), candidate.load(), 0.95, true)
                        : candidate)
                .toList();
        assertThat(engines(placer.choose(request(4_000), candidates, 0))).doesNotContain(engine(0));
    }

    @Test
    void findsNoEngineIfTheCallerWouldDisconnectFirst() {
        for (int i = 0; i < ENGINES; i++) {
            loadTable.place(placement(290_000, i), 0, 60_000);
            decode(4_000, i);
            loadTable.place(placement(290_000, i), 0, 60_000);
            loadTable.place(placement(290_000, i), 0, 60_000);
        }
        assertThat(choose(4_000).found()).isFalse();
    }

    /**
     * All engines are busy with short prompts, and a prompt of 500,000 tokens arrives. When its 2.5 s of engine time
     * had no price, it was placed, and short prompts were late for seconds in the busiest phase.
     */
    @Test
    void pricesEngineTimeOnlyWhileEnginesAreScarce() {
        double idle = choose(290_000).cost();
        for (int i = 0; i < ENGINES * 10; i++) {
            decode(4_000, i % ENGINES);
        }
        PlacementChoice busy = choose(290_000);
        assertThat(idle).isLessThan(PromptValue.of(290_000) / 4);
        assertThat(busy.cost()).isGreaterThan(idle + 8);
        assertThat(choose(2_000).cost()).isLessThan(PromptValue.of(2_000));
    }

    /**
     * All engines share the prefill of one prompt, and the next prompt arrives. When the delay of the first one was
     * counted for each of its parts, it looked cheaper to place the second one on a single engine, late. Prompts of
     * 200,000 tokens took seven seconds beside engines that could have prefilled them together in one.
     */
    @Test
    void sharesALongPromptWhileAllEnginesPrefillAnother() {
        EnginePlacement first = placement(100_000, 0, 1, 2, 3, 4, 5, 6, 7);
        loadTable.place(new EnginePlacement(first.id(), first.parts(), 100_000, 90, 1_000), 0, 60_000);
        PromptRequest next = new PromptRequest(290_000, 800, 300, 1_000, 10_800, 0);
        PlacementChoice choice = placer.choose(next, candidates(loadTable, ENGINES), 20);
        assertThat(choice.parts().size()).isGreaterThan(4);
        assertThat(choice.firstTokenMillis()).isLessThan(300);
    }

    /**
     * An engine that decodes nothing has a long part in prefill. A short prompt with a shared prefill runs before that
     * part, and with its first event the engine does all the rest in one batch step. When only the time to the first
     * event counted, short prompts were answered at once and then had a token gap of 1.6 s.
     */
    @Test
    void startsNoShortAnswerOnAnEngineDuringALongPrefill() {
        for (int i = 0; i < 4; i += 2) {
            EnginePlacement longOne = placement(1_000_000, i, i + 1);
            loadTable.place(new EnginePlacement(longOne.id(), longOne.parts(), 1_000_000, 30_000, 1_000), 0, 60_000);
        }
        for (int i = 4; i < ENGINES; i++) {
            decode(4_000, i);
        }
        PromptRequest impatient = new PromptRequest(16_000, 800, 100, 250, 1_800, 0);
        PlacementChoice choice = placer.choose(impatient, candidates(loadTable, ENGINES), 10);
        assertThat(choice.parts().get(0).engine()).isGreaterThanOrEqualTo(engine(4));
    }

    /**
     * Engines are scarce; few helpers are cheapest for other requests but take longer than the caller waits. When the
     * caller's patience was checked only after the cheapest number of helpers was chosen, a prompt was refused for
     * lack of capacity although more helpers would have been fast enough.
     */
    @Test
    void choosesOnlyNumbersOfHelpersWithinTheCallersPatience() {
        for (int i = 0; i < ENGINES * 9; i++) {
            decode(4_000, i % ENGINES);
        }
        PromptRequest patient = new PromptRequest(340_000, 800, 3_000, 1_000, 10_800, 0);
        PromptRequest impatient = new PromptRequest(340_000, 800, 3_000, 1_000, 500, 0);
        int cheapest = placer.choose(patient, candidates(loadTable, ENGINES), 0)
                .parts()
                .size();
        PlacementChoice fast = placer.choose(impatient, candidates(loadTable, ENGINES), 0);
        assertThat(fast.found()).isTrue();
        assertThat(fast.firstTokenMillis()).isLessThanOrEqualTo(500);
        assertThat(fast.parts().size()).isGreaterThan(cheapest);
    }

    /**
     * All engines are likely to fail. When the likely failure of the prompt itself counted as cost to others, a broken
     * stream waited until its caller disconnected, beside idle engines.
     */
    @Test
    void countsOnlyTheLossOfOthersAsCostToOthers() {
        List<EngineCandidate> failing = candidates(loadTable, ENGINES).stream()
                .map(candidate -> new EngineCandidate(candidate.engine(), candidate.load(), 0.95, true))
                .toList();
        PlacementChoice choice = placer.choose(request(4_000), failing, 0);
        assertThat(choice.cost()).isGreaterThan(PromptValue.of(4_000) * 0.9);
        assertThat(choice.costToOthers()).isLessThan(0.1);
    }
}
