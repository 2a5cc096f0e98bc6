package org.apricotstack.core.engine;

import java.util.List;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InFlightPlacementsTest {

    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final ProcessId ROUTER = new ProcessId(new HostId("router-1"), 1);

    private final InFlightPlacements open = new InFlightPlacements();

    private static EnginePlacement placement(long number, double prefillMillis) {
        EnginePart part = new EnginePart(ENGINE, prefillMillis, 5_000);
        return new EnginePlacement(new PlacementId(ROUTER, number), List.of(part), 5_000, 300, 250);
    }

    @Test
    void listsTheRemainingPrefillAndTime() {
        open.place(placement(1, 800), 10_000, 0);
        InFlightPlacements.Entry left = open.snapshot(300).get(0);
        assertThat(left.placement().lead().prefillMillis()).isEqualTo(500);
        assertThat(left.placement().targetLatencyMillis()).isEqualTo(1);
        assertThat(left.limitMillis()).isEqualTo(9_700);
        assertThat(left.decoding()).isFalse();
    }

    @Test
    void listsThatAnAnswerIsBeingDecoded() {
        open.place(placement(1, 100), 10_000, 0);
        open.startDecoding(new PlacementId(ROUTER, 1));
        assertThat(open.snapshot(500)).singleElement().matches(InFlightPlacements.Entry::decoding);
        assertThat(open.snapshot(500).get(0).placement().lead().prefillMillis()).isZero();
    }

    @Test
    void omitsEndedAndExpiredPlacements() {
        open.place(placement(1, 100), 10_000, 0);
        open.place(placement(2, 100), 400, 0);
        open.place(placement(3, 100), 10_000, 0);
        open.remove(new PlacementId(ROUTER, 1));
        assertThat(open.snapshot(400)).hasSize(1);
        assertThat(open.snapshot(400).get(0).placement().id().number()).isEqualTo(3);
    }

    /**
     * Another router's placements arrive when a stream opens, and again as they were made. They must count exactly
     * once, or a router that has just started chooses an engine that is full.
     */
    @Test
    void fillsTheLoadTableOfARouterThatMissedThem() {
        EngineLoadTable loadTable = new EngineLoadTable();
        EnginePlacement known = placement(1, 100);
        loadTable.place(known, 0, 10_000);
        open.place(known, 10_000, 0);
        open.place(placement(2, 100), 10_000, 0);
        open.snapshot(50).forEach(one -> loadTable.place(one.placement(), 50, one.limitMillis()));
        assertThat(loadTable.size()).isEqualTo(2);
        assertThat(loadTable.load(ENGINE).leadCount()).isEqualTo(2);
    }
}
