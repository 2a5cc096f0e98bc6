package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PerRouterEngineOrderTest {

    private static final int ENGINES = 23;
    private static final int ROUTERS = 7;

    /** Prompts that one router takes in the half second in which it knows of no other: 152 in total were observed. */
    private static final int PROMPTS_EACH = 22;

    private static final long MILLIS_BETWEEN_PROMPTS = 23;

    private static ProcessId process(int number) {
        return new ProcessId(new HostId("router-" + number), 1);
    }

    private static List<UpstreamId> engines(List<EngineCandidate> candidates) {
        return candidates.stream().map(EngineCandidate::engine).toList();
    }

    @Test
    void isStableForAProcessAndDifferentForOthers() {
        List<EngineCandidate> common = EngineTestData.candidates(EngineTestData.loadTable(ENGINES), ENGINES);
        List<UpstreamId> one = engines(PerRouterEngineOrder.of(process(1), common));
        assertThat(one).isEqualTo(engines(PerRouterEngineOrder.of(process(1), common)));
        assertThat(one).containsExactlyInAnyOrderElementsOf(engines(common));
        assertThat(one).isNotEqualTo(engines(PerRouterEngineOrder.of(process(2), common)));
    }

    /**
     * Seven routers start with empty load tables, take 154 short prompts in half a second, and learn of each other
     * only then. When all filled the engines in the same order, engines rejected a third of the prompts while most
     * engines were idle, right after all routers had lost power.
     */
    @Test
    void spreadsThePromptsOfRoutersThatDoNotKnowEachOther() {
        int slots = EngineTestData.PROFILE.slots();
        assertThat(maxOnOneEngine(false)).isGreaterThan(4 * slots);
        assertThat(maxOnOneEngine(true)).isLessThanOrEqualTo(2 * slots);
    }

    /** Simulates the half second and returns how many prompts the fullest engine got. */
    private static int maxOnOneEngine(boolean ownOrder) {
        Map<UpstreamId, Integer> prompts = new HashMap<>();
        EnginePlacer placer = new EnginePlacer(EngineTestData.PROFILE);
        for (int router = 0; router < ROUTERS; router++) {
            EngineLoadTable loadTable = EngineTestData.loadTable(ENGINES);
            List<EngineCandidate> common = EngineTestData.candidates(loadTable, ENGINES);
            List<EngineCandidate> order = ownOrder ? PerRouterEngineOrder.of(process(router), common) : common;
            List<EnginePlacement> prefill = new ArrayList<>();
            for (int i = 0; i < PROMPTS_EACH; i++) {
                long now = i * MILLIS_BETWEEN_PROMPTS;
                prefill.forEach(placed -> loadTable.startDecoding(placed.id(), now));
                prefill.clear();
                PlacementChoice choice = placer.choose(EngineTestData.request(4_000), order, now);
                EnginePlacement placed =
                        new EnginePlacement(new PlacementId(process(router), i), choice.parts(), 4_000, 300, 250);
                loadTable.place(placed, now, 10_000);
                prefill.add(placed);
                prompts.merge(placed.lead().engine(), 1, Integer::sum);
            }
        }
        return prompts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    }
}
