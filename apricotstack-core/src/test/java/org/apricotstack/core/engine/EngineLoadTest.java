package org.apricotstack.core.engine;

import java.util.List;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

import static org.apricotstack.core.engine.EngineTestData.engine;
import static org.apricotstack.core.engine.EngineTestData.placement;
import static org.assertj.core.api.Assertions.assertThat;

class EngineLoadTest {

    private static final Offset<Double> MILLI = Offset.offset(1.0);

    private final EngineLoadTable loadTable = EngineTestData.loadTable(3);
    private final EngineLoad load = loadTable.load(engine(0));

    @Test
    void readsPromptsThatItReadsAloneOneAfterTheOther() {
        EnginePlacement placed = placement(40_000, 0);
        loadTable.place(placed, 0, 60_000);
        assertThat(load.prefillDoneMillis(100, false, 0)).isCloseTo(300, MILLI);
        assertThat(load.prefillDoneMillis(100, false, 150)).isCloseTo(150, MILLI);
        loadTable.remove(placed.id(), 300);
        assertThat(load.prefillDoneMillis(100, false, 500)).isCloseTo(100, MILLI);
    }

    /**
     * Symptom: readings took seconds longer than predicted, and newer requests were read before older ones. Sequence: a
     * shared prefill is under way, another shared prefill gets a part at the same engine. Cause: the newer part goes
     * ahead, so the older one ends later by the whole new part.
     */
    @Test
    void readsANewSharedPartAheadOfAnOlderOne() {
        EnginePlacement older = placement(80_000, 0, 1);
        loadTable.place(older, 0, 60_000);
        assertThat(load.prefillDoneMillis(100, true, 100)).isCloseTo(100, MILLI);
        List<EngineCandidate> engines = EngineTestData.candidates(loadTable, 3);
        PendingPrefills open = new PendingPrefills(engines, 100);
        assertThat(open.loss(engines.get(0), 2_900, true)).isGreaterThan(older.value() * 0.3);
        assertThat(open.loss(engines.get(0), 2_900, false)).isZero();
    }

    /**
     * Symptom: ten short prompts in a row were sent to an engine that answered none of them for 1.6 s. Sequence: it
     * reads a long part, a short prompt is read ahead of that, and its first event comes. Cause: the event was taken
     * for the end of a pass in which the long part had been read.
     */
    @Test
    void keepsWhatIsLeftOfALongPartWhenAFirstEventComesEarly() {
        loadTable.place(placement(400_000, 0, 1), 0, 60_000);
        EnginePlacement first = placement(4_000, 0, 2);
        EnginePlacement second = placement(4_000, 0, 2);
        loadTable.place(first, 100, 60_000);
        loadTable.place(second, 110, 60_000);
        loadTable.startDecoding(first.id(), 120);
        loadTable.startDecoding(second.id(), 150);
        assertThat(load.prefillDoneMillis(20, false, 160)).isGreaterThan(800);
        assertThat(load.nextEventMillis(160)).isGreaterThan(700);
    }

    @Test
    void foreseesThePauseOfAnAnswerThatBeginsBesideALongReading() {
        loadTable.place(placement(400_000, 0, 1), 0, 60_000);
        assertThat(load.ownTokenGapMillis(true, 100)).isCloseTo(900, MILLI);
        assertThat(load.ownTokenGapMillis(false, 100)).isCloseTo(0, MILLI);
    }

    @Test
    void endsAllReadingOfAPassTogether() {
        EnginePlacement writer = placement(4_000, 0);
        loadTable.place(writer, 0, 60_000);
        loadTable.startDecoding(writer.id(), 20);
        // The pass lasts until 70 ms; both prompts are read in the next one, which takes 50 ms and their prefill.
        loadTable.place(placement(20_000, 0), 30, 60_000);
        assertThat(load.prefillDoneMillis(100, false, 40)).isCloseTo(30 + 50 + 100 + 100, MILLI);
        assertThat(load.tokenGapMillis(100, 40)).isCloseTo(250, MILLI);
        // In the pass that began at 70 ms the first is read, so a new one waits for that pass.
        assertThat(load.prefillDoneMillis(100, false, 100)).isCloseTo(120 + 50 + 100, MILLI);
    }

    @Test
    void countsWhatItRunsAndFreesItAgain() {
        EnginePlacement lead = placement(10_000, 0, 1);
        EnginePlacement helped = placement(100_000, 1, 0);
        loadTable.place(lead, 0, 60_000);
        loadTable.place(lead, 0, 60_000);
        loadTable.place(helped, 0, 60_000);
        assertThat(load.leadCount()).isEqualTo(1);
        assertThat(load.shortLeadCount()).isEqualTo(1);
        assertThat(load.helperCount()).isEqualTo(1);
        assertThat(load.memoryTokens()).isEqualTo(10_000);
        loadTable.startDecoding(lead.id(), 10);
        assertThat(load.leadCount()).isEqualTo(1);
        loadTable.remove(lead.id(), 20);
        loadTable.remove(helped.id(), 20);
        loadTable.remove(helped.id(), 20);
        assertThat(load.leadCount()).isZero();
        assertThat(load.shortLeadCount()).isZero();
        assertThat(load.helperCount()).isZero();
        assertThat(load.memoryTokens()).isZero();
        assertThat(loadTable.size()).isZero();
    }

    /**
     * Symptom: engines looked full for good. Sequence: a router places a request and dies, the news of its end never
     * come. Cause: nobody else takes the placement off.
     */
    @Test
    void takesOffWhatAGoneRouterPlaced() {
        loadTable.place(placement(10_000, 0), 0, 60_000);
        loadTable.place(placement(10_000, 1), 0, 500);
        loadTable.expire(1_000);
        assertThat(loadTable.size()).isEqualTo(1);
        loadTable.removeProcess(EngineTestData.HERE, 1_000);
        assertThat(loadTable.size()).isZero();
        assertThat(load.leadCount()).isZero();
    }

    /**
     * Symptom: twenty short prompts at a time were put on engines that gave nothing for five seconds. Sequence: an
     * engine
     * reads something that no router knows of; each new prompt there waits, and still looks cheap. Cause: a first event
     * that was predicted and did not come told nobody anything.
     */
    @Test
    void predictsLaterWhatWaitsAtAnEngineThatOwesAFirstEvent() {
        EnginePlacement overdue = placement(4_000, 0);
        loadTable.place(overdue, 0, 60_000);
        assertThat(load.prefillDoneMillis(10, false, 100)).isCloseTo(10, MILLI);
        assertThat(load.prefillDoneMillis(10, false, 1_020)).isCloseTo(1_010, MILLI);
        assertThat(load.utilization(1_020)).isEqualTo(1);
        loadTable.startDecoding(overdue.id(), 1_030);
        assertThat(load.prefillDoneMillis(10, false, 1_040)).isLessThan(120);
    }

    /**
     * Symptom: an engine looked idle and was blocked for seven seconds. Sequence: a router shares a long prefill,
     * and is
     * killed; the engine reads on. Cause: its placement was taken off together with what was left to read.
     */
    @Test
    void countsReadingWhoseRouterIsGoneUntilItWouldBeDone() {
        loadTable.place(placement(800_000, 1, 0), 0, 60_000);
        loadTable.removeProcess(EngineTestData.HERE, 500);
        assertThat(load.leadCount()).isZero();
        assertThat(load.memoryTokens()).isZero();
        assertThat(load.prefillDoneMillis(10, true, 500)).isCloseTo(1_510, MILLI);
        assertThat(load.prefillDoneMillis(10, true, 2_100)).isCloseTo(10, MILLI);
    }
}
