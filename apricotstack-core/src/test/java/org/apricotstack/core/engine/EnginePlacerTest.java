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

    private void write(long tokens, int engine) {
        EnginePlacement placement = placement(tokens, engine);
        loadTable.place(placement, 0, 60_000);
        loadTable.startDecoding(placement.id(), 0);
    }

    private static List<UpstreamId> engines(PlacementChoice choice) {
        return choice.parts().stream().map(EnginePart::engine).toList();
    }

    @Test
    void beginsWithTheFirstEngineForShortPromptsAndTheLastForLongOnes() {
        assertThat(engines(choose(4_000))).containsExactly(engine(0));
        assertThat(engines(choose(60_000))).contains(engine(ENGINES - 1)).doesNotContain(engine(0));
    }

    /**
     * Symptom: short streams paused for over a second in the busy part of a day. Sequence: short prompts write on some
     * engines, a long one arrives. Cause: its prefill was put beside the writers, whose pass then lasts as long as it.
     */
    @ParameterizedTest
    @ValueSource(longs = {45_000, 150_000, 280_000})
    void keepsLongReadingAwayFromShortWriters(long tokens) {
        for (int i = 0; i < 12; i++) {
            write(4_000, i % 2);
        }
        assertThat(engines(choose(tokens))).isNotEmpty().doesNotContain(engine(0), engine(1));
    }

    @Test
    void movesTheBorderWithTheNumberOfShortPrompts() {
        assertThat(EnginePlacer.shortPoolSize(candidates(loadTable, ENGINES))).isEqualTo(2);
        for (int i = 0; i < 30; i++) {
            write(4_000, i % 4);
        }
        assertThat(EnginePlacer.shortPoolSize(candidates(loadTable, ENGINES))).isEqualTo(6);
    }

    @Test
    void sharesAReadingThatWouldBeLateAlone() {
        PlacementChoice choice = choose(299_000);
        assertThat(choice.parts().size()).isGreaterThan(1);
        assertThat(choice.firstTokenMillis()).isLessThan(1_000);
    }

    @Test
    void reservesMemoryForAPromptThatNoEngineHolds() {
        PlacementChoice choice = choose(700_000);
        assertThat(choice.reservesMemory()).isTrue();
        assertThat(choice.parts().stream().mapToLong(EnginePart::memoryTokens).sum())
                .isGreaterThanOrEqualTo(700_800);
        assertThat(choice.parts())
                .allSatisfy(part -> assertThat(part.memoryTokens()).isLessThanOrEqualTo(288_000));
    }

    /**
     * Symptom: prompts that need several engines' memory failed one after the other. Sequence: some engines leave
     * orders
     * unanswered. Cause: memory was reserved at them again and again.
     */
    @Test
    void reservesNoMemoryWhereOrdersAreLost() {
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
    void letsNoEngineHelpThatMayNot() {
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
    void findsNoEngineOnceTheCallerWouldHaveLeft() {
        for (int i = 0; i < ENGINES; i++) {
            loadTable.place(placement(290_000, i), 0, 60_000);
            write(4_000, i);
            loadTable.place(placement(290_000, i), 0, 60_000);
            loadTable.place(placement(290_000, i), 0, 60_000);
        }
        assertThat(choose(4_000).found()).isFalse();
    }

    /**
     * Symptom: short prompts were late for seconds in the busiest phase. Sequence: all engines are busy with short
     * prompts, a prompt of 500,000 tokens arrives and is placed. Cause: its 2.5 s of engine time had no price.
     */
    @Test
    void pricesEngineTimeOnlyWhileEnginesAreScarce() {
        double idle = choose(290_000).cost();
        for (int i = 0; i < ENGINES * 10; i++) {
            write(4_000, i % ENGINES);
        }
        PlacementChoice busy = choose(290_000);
        assertThat(idle).isLessThan(PromptValue.of(290_000) / 4);
        assertThat(busy.cost()).isGreaterThan(idle + 8);
        assertThat(choose(2_000).cost()).isLessThan(PromptValue.of(2_000));
    }

    /**
     * Symptom: prompts of 200,000 tokens took seven seconds beside engines that could have read them together in one.
     * Sequence: one prompt is read by all engines, the next one arrives. Cause: the delay of the first was counted for
     * each of its parts, so that prefill the second on one engine alone, and late, looked cheaper.
     */
    @Test
    void sharesALongPromptBesideOneThatAllEnginesRead() {
        EnginePlacement read = placement(100_000, 0, 1, 2, 3, 4, 5, 6, 7);
        loadTable.place(new EnginePlacement(read.id(), read.parts(), 100_000, 90, 1_000), 0, 60_000);
        PromptRequest next = new PromptRequest(290_000, 800, 300, 1_000, 10_800, 0);
        PlacementChoice choice = placer.choose(next, candidates(loadTable, ENGINES), 20);
        assertThat(choice.parts().size()).isGreaterThan(4);
        assertThat(choice.firstTokenMillis()).isLessThan(300);
    }

    /**
     * Symptom: short prompts were answered at once and then paused for 1.6 s. Sequence: an engine that writes nothing
     * reads a long part; the short prompt is shared and so read ahead of it. Cause: only the time to the first event
     * was looked at, and with that event the engine reads all the rest in one pass.
     */
    @Test
    void beginsNoShortAnswerOnAnEngineInTheMiddleOfALongReading() {
        for (int i = 0; i < 4; i += 2) {
            EnginePlacement longOne = placement(1_000_000, i, i + 1);
            loadTable.place(new EnginePlacement(longOne.id(), longOne.parts(), 1_000_000, 30_000, 1_000), 0, 60_000);
        }
        for (int i = 4; i < ENGINES; i++) {
            write(4_000, i);
        }
        PromptRequest hasty = new PromptRequest(16_000, 800, 100, 250, 1_800, 0);
        PlacementChoice choice = placer.choose(hasty, candidates(loadTable, ENGINES), 10);
        assertThat(choice.parts().get(0).engine()).isGreaterThanOrEqualTo(engine(4));
    }

    /**
     * Symptom: a prompt was refused for want of room though helpers could have read it in time. Sequence: engines are
     * scarce, few helpers cost others least but take longer than the caller waits. Cause: patience was looked at only
     * after the cheapest number of helpers had been chosen.
     */
    @Test
    void choosesAmongNumbersOfHelpersThatAreFastEnoughForTheCaller() {
        for (int i = 0; i < ENGINES * 9; i++) {
            write(4_000, i % ENGINES);
        }
        PromptRequest patient = new PromptRequest(340_000, 800, 3_000, 1_000, 10_800, 0);
        PromptRequest hasty = new PromptRequest(340_000, 800, 3_000, 1_000, 500, 0);
        int cheapest = placer.choose(patient, candidates(loadTable, ENGINES), 0)
                .parts()
                .size();
        PlacementChoice fast = placer.choose(hasty, candidates(loadTable, ENGINES), 0);
        assertThat(fast.found()).isTrue();
        assertThat(fast.firstTokenMillis()).isLessThanOrEqualTo(500);
        assertThat(fast.parts().size()).isGreaterThan(cheapest);
    }

    /**
     * Symptom: a broken stream waited until its caller left, beside idle engines. Sequence: all engines are likely to
     * fail. Cause: the likely failure of the prompt itself counted as costToOthers to others.
     */
    @Test
    void countsAsHarmOnlyWhatOthersLose() {
        List<EngineCandidate> doubtful = candidates(loadTable, ENGINES).stream()
                .map(candidate -> new EngineCandidate(candidate.engine(), candidate.load(), 0.95, true))
                .toList();
        PlacementChoice choice = placer.choose(request(4_000), doubtful, 0);
        assertThat(choice.cost()).isGreaterThan(PromptValue.of(4_000) * 0.9);
        assertThat(choice.costToOthers()).isLessThan(0.1);
    }
}
