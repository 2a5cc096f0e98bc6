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
    void prefillsUnsharedPromptsInOrderOfArrival() {
        EnginePlacement placed = placement(40_000, 0);
        loadTable.place(placed, 0, 60_000);
        assertThat(load.prefillDoneMillis(100, false, 0)).isCloseTo(300, MILLI);
        assertThat(load.prefillDoneMillis(100, false, 150)).isCloseTo(150, MILLI);
        loadTable.remove(placed.id(), 300);
        assertThat(load.prefillDoneMillis(100, false, 500)).isCloseTo(100, MILLI);
    }

    /**
     * A new part of a shared prefill runs before an older one, so the older one ends later by the whole new part.
     * Without this, prefills took seconds longer than predicted, and newer requests were done before older ones.
     */
    @Test
    void prefillsANewSharedPartBeforeAnOlderOne() {
        EnginePlacement older = placement(80_000, 0, 1);
        loadTable.place(older, 0, 60_000);
        assertThat(load.prefillDoneMillis(100, true, 100)).isCloseTo(100, MILLI);
        List<EngineCandidate> engines = EngineTestData.candidates(loadTable, 3);
        PendingPrefills open = new PendingPrefills(engines, 100);
        assertThat(open.loss(engines.get(0), 2_900, true)).isGreaterThan(older.value() * 0.3);
        assertThat(open.loss(engines.get(0), 2_900, false)).isZero();
    }

    /**
     * A first event must not count as the end of a batch step that included a long part. An engine has a long part in
     * prefill, a short prompt runs before it, and its first event arrives. When the long part then counted as done,
     * ten short prompts in a row went to an engine that answered none of them for 1.6 s.
     */
    @Test
    void keepsTheRemainderOfALongPartWhenAFirstEventComesEarly() {
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
    void predictsTheTokenGapOfAnAnswerThatStartsBesideALongPrefill() {
        loadTable.place(placement(400_000, 0, 1), 0, 60_000);
        assertThat(load.ownTokenGapMillis(true, 100)).isCloseTo(900, MILLI);
        assertThat(load.ownTokenGapMillis(false, 100)).isCloseTo(0, MILLI);
    }

    @Test
    void completesAllPrefillOfABatchStepTogether() {
        EnginePlacement decoding = placement(4_000, 0);
        loadTable.place(decoding, 0, 60_000);
        loadTable.startDecoding(decoding.id(), 20);
        // The step lasts until 70 ms; both prompts are in the next one, which takes 50 ms plus their prefill.
        loadTable.place(placement(20_000, 0), 30, 60_000);
        assertThat(load.prefillDoneMillis(100, false, 40)).isCloseTo(30 + 50 + 100 + 100, MILLI);
        assertThat(load.tokenGapMillis(100, 40)).isCloseTo(250, MILLI);
        // The first prompt is in the step that began at 70 ms, so a new one waits for the end of that step.
        assertThat(load.prefillDoneMillis(100, false, 100)).isCloseTo(120 + 50 + 100, MILLI);
    }

    @Test
    void tracksRequestsAndMemoryUntilTheyAreRemoved() {
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
     * A router places a request and dies, so its report of the end never arrives, and no other router removes the
     * placement. Without expiry the engines looked full forever.
     */
    @Test
    void removesPlacementsOfADeadRouter() {
        loadTable.place(placement(10_000, 0), 0, 60_000);
        loadTable.place(placement(10_000, 1), 0, 500);
        loadTable.expire(1_000);
        assertThat(loadTable.size()).isEqualTo(1);
        loadTable.removeProcess(EngineTestData.HERE, 1_000);
        assertThat(loadTable.size()).isZero();
        assertThat(load.leadCount()).isZero();
    }

    /**
     * A predicted first event that does not arrive must make the engine look busy. An engine had work that no router
     * knew of; each new prompt waited behind it, but the engine still looked cheap. Up to twenty short prompts at a
     * time went to engines that returned nothing for five seconds.
     */
    @Test
    void predictsLongerWaitsOnAnEngineWithAnOverdueFirstEvent() {
        EnginePlacement overdue = placement(4_000, 0);
        loadTable.place(overdue, 0, 60_000);
        assertThat(load.prefillDoneMillis(10, false, 100)).isCloseTo(10, MILLI);
        assertThat(load.prefillDoneMillis(10, false, 1_020)).isCloseTo(1_010, MILLI);
        assertThat(load.utilization(1_020)).isEqualTo(1);
        loadTable.startDecoding(overdue.id(), 1_030);
        assertThat(load.prefillDoneMillis(10, false, 1_040)).isLessThan(120);
    }

    /**
     * A router shares a long prefill and is killed, but the engine continues it. When the remaining prefill was
     * removed together with the placement, the engine looked idle and was blocked for seven seconds.
     */
    @Test
    void countsPrefillOfADeadRouterUntilItWouldBeDone() {
        loadTable.place(placement(800_000, 1, 0), 0, 60_000);
        loadTable.removeProcess(EngineTestData.HERE, 500);
        assertThat(load.leadCount()).isZero();
        assertThat(load.memoryTokens()).isZero();
        assertThat(load.prefillDoneMillis(10, true, 500)).isCloseTo(1_510, MILLI);
        assertThat(load.prefillDoneMillis(10, true, 2_100)).isCloseTo(10, MILLI);
    }
}
