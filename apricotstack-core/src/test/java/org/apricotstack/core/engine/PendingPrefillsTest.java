package org.apricotstack.core.engine;

import java.util.List;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

import static org.apricotstack.core.engine.EngineTestData.candidates;
import static org.apricotstack.core.engine.EngineTestData.loadTable;
import static org.apricotstack.core.engine.EngineTestData.placement;
import static org.assertj.core.api.Assertions.assertThat;

class PendingPrefillsTest {

    private static final int ENGINES = 4;
    private static final Offset<Double> HUNDREDTH = Offset.offset(0.01);

    private final EngineLoadTable loadTable = loadTable(ENGINES);
    private final List<EngineCandidate> engines = candidates(loadTable, ENGINES);

    @Test
    void countsTheDelayOfASharedPromptOnce() {
        EnginePlacement shared = placement(280_000, 0, 1, 2, 3);
        loadTable.place(shared, 0, 60_000);
        PendingPrefills open = new PendingPrefills(engines, 10);
        double atOne = open.loss(engines.get(0), 4_000, true);
        assertThat(atOne).isBetween(shared.value() * 0.5, shared.value() * 1.2);
        assertThat(open.loss(engines, 4_000, true)).isCloseTo(atOne, HUNDREDTH);
    }

    @Test
    void chargesNoDelayOfAPartThatIsDoneBeforeTheOthers() {
        // The second engine has 350 ms of its own prefill first, so the part on the first one may be late by as much.
        loadTable.place(placement(280_000, 0, 1), 0, 60_000);
        loadTable.place(placement(140_000, 1, 2), 0, 60_000);
        PendingPrefills open = new PendingPrefills(engines, 1);
        assertThat(open.loss(engines.get(0), 340, true)).isZero();
        assertThat(open.loss(engines.get(0), 3_000, true)).isPositive();
    }

    @Test
    void addsUpTheDelaysOfDifferentPrompts() {
        EnginePlacement first = placement(280_000, 0, 1);
        EnginePlacement second = placement(280_000, 2, 3);
        loadTable.place(first, 0, 60_000);
        loadTable.place(second, 0, 60_000);
        PendingPrefills open = new PendingPrefills(engines, 10);
        double one = open.loss(engines.get(0), 4_000, true);
        assertThat(open.loss(List.of(engines.get(0), engines.get(2)), 4_000, true))
                .isCloseTo(2 * one, HUNDREDTH);
    }
}
