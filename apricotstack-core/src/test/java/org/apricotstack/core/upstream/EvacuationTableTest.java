package org.apricotstack.core.upstream;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.EvacuationChange.Kind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationTableTest {

    private static final DataCentreId EAST = new DataCentreId("east");
    private static final DataCentreId WEST = new DataCentreId("west");
    private static final ServiceId SERVICE = new ServiceId("plain");
    private static final long NOW = 1_000;

    private final EvacuationTable table = new EvacuationTable();

    private List<Kind> kinds() {
        return table.takeChanges().stream().map(EvacuationChange::kind).toList();
    }

    private static Evacuation listed(DataCentreId dataCentre, long revision) {
        return Evacuation.listed(dataCentre, revision);
    }

    @Test
    void ignoresARequestThatArrivesAfterItsRemoval() {
        table.remove(EAST, 11);
        table.put(EAST, 10);
        assertThat(table.isEvacuated(EAST)).isFalse();
        table.put(EAST, 12);
        assertThat(table.isEvacuated(EAST)).isTrue();
        assertThat(kinds()).containsExactly(Kind.BEGUN);
    }

    @Test
    void ignoresARemovalThatArrivesAfterALaterRequest() {
        table.put(EAST, 10);
        table.put(EAST, 12);
        table.remove(EAST, 11);
        assertThat(table.isEvacuated(EAST)).isTrue();
        table.remove(EAST, 13);
        assertThat(table.isEvacuated(EAST)).isFalse();
        assertThat(kinds()).containsExactly(Kind.BEGUN, Kind.ENDED);
    }

    @Test
    void endsWhatACompleteListLacksAndKeepsWhatIsNewer() {
        table.put(EAST, 10);
        table.put(WEST, 21);
        table.replaceAll(List.of(), 20, NOW);
        assertThat(table.isEvacuated(EAST)).isFalse();
        assertThat(table.isEvacuated(WEST)).isTrue();
    }

    @Test
    void ignoresAListThatIsOlderThanTheLast() {
        table.replaceAll(List.of(listed(EAST, 10)), 20, NOW);
        table.replaceAll(List.of(listed(WEST, 9)), 19, NOW);
        assertThat(table.all()).containsExactly(listed(EAST, 10));
    }

    @Test
    void ignoresARequestThatALaterListLacks() {
        table.replaceAll(List.of(), 20, NOW);
        table.put(EAST, 10);
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void holdsWhatAnOlderCopyOfThePlatformLacksForALimitedTime() {
        table.put(EAST, Revisions.of(1, 100));
        table.replaceAll(List.of(), Revisions.of(2, 90), NOW);
        assertThat(table.isEvacuated(EAST)).isTrue();
        table.replaceAll(List.of(), Revisions.of(2, 95), NOW + 10_000);
        table.expire(NOW + EvacuationTable.LOST_HOLD_MILLIS - 1);
        assertThat(table.isEvacuated(EAST)).isTrue();
        table.expire(NOW + EvacuationTable.LOST_HOLD_MILLIS);
        assertThat(table.isEvacuated(EAST)).isFalse();
        assertThat(kinds()).containsExactly(Kind.BEGUN, Kind.LOST, Kind.ENDED);
    }

    @Test
    void keepsALostEvacuationThatIsRequestedAgain() {
        table.put(EAST, Revisions.of(1, 100));
        table.replaceAll(List.of(), Revisions.of(2, 90), NOW);
        table.put(EAST, Revisions.of(2, 91));
        table.expire(NOW + EvacuationTable.LOST_HOLD_MILLIS);
        assertThat(table.isEvacuated(EAST)).isTrue();
        table.remove(EAST, Revisions.of(2, 92));
        assertThat(table.isEvacuated(EAST)).isFalse();
    }

    @Test
    void endsAnEvacuationThatIsRemovedAfterTheOlderCopyListedIt() {
        table.put(EAST, Revisions.of(1, 100));
        table.replaceAll(List.of(listed(EAST, Revisions.of(2, 100))), Revisions.of(2, 110), NOW);
        table.replaceAll(List.of(), Revisions.of(2, 111), NOW);
        assertThat(table.isEvacuated(EAST)).isFalse();
    }

    @Test
    void takesOverALostEvacuationFromAnotherRouterUntilItsHoldEnds() {
        Evacuation held = new Evacuation(EAST, Revisions.of(1, 100), NOW + 500);
        table.replaceAll(List.of(held), Revisions.of(2, 90), NOW);
        assertThat(table.isEvacuated(EAST)).isTrue();
        table.expire(NOW + 500);
        table.replaceAll(List.of(held), Revisions.of(2, 90), NOW + 600);
        assertThat(table.isEvacuated(EAST)).isFalse();
    }

    /** Guards against a request that stays ignored because another router's list lacked it. */
    @Test
    void putsInForceAgainWhatALaterListHasAndOnlyAListLacked() {
        table.put(EAST, 4);
        table.replaceAll(List.of(), 6, NOW);
        table.replaceAll(List.of(listed(EAST, 4)), 7, NOW);
        assertThat(table.isEvacuated(EAST)).isTrue();
        table.remove(EAST, 8);
        table.replaceAll(List.of(listed(EAST, 4)), 9, NOW);
        assertThat(table.isEvacuated(EAST)).isFalse();
    }

    @Test
    void passesOnTheRemovalOfALostEvacuationWhileOthersMayHoldIt() {
        table.put(EAST, Revisions.of(1, 100));
        table.replaceAll(List.of(), Revisions.of(2, 90), NOW);
        assertThat(table.removedAfterLoss()).isEmpty();
        table.put(EAST, Revisions.of(2, 91));
        assertThat(table.removedAfterLoss()).isEmpty();
        table.remove(EAST, Revisions.of(2, 92));
        assertThat(table.removedAfterLoss()).containsExactly(listed(EAST, Revisions.of(2, 92)));
        table.expire(NOW + EvacuationTable.LOST_HOLD_MILLIS);
        assertThat(table.removedAfterLoss()).isEmpty();
    }

    @Test
    void leavesOutTheUpstreamsOfEachEvacuatedDataCentre() {
        UpstreamTable upstreams = new UpstreamTable();
        upstreams.put(entry("a", EAST));
        upstreams.put(entry("b", WEST));
        assertThat(upstreams.usable(SERVICE)).hasSize(2);
        upstreams.evacuations().put(EAST, 10);
        assertThat(upstreams.usable(SERVICE))
                .extracting(UpstreamEntry::dataCentre)
                .containsExactly(WEST);
        upstreams.evacuations().put(WEST, 11);
        upstreams.evacuations().put(new DataCentreId("unknown"), 12);
        assertThat(upstreams.usable(SERVICE)).isEmpty();
        assertThat(upstreams.isDraining(new UpstreamId("a"))).isFalse();
        upstreams.evacuations().remove(EAST, 13);
        assertThat(upstreams.usable(SERVICE))
                .extracting(UpstreamEntry::dataCentre)
                .containsExactly(EAST);
    }

    private static UpstreamEntry entry(String id, DataCentreId dataCentre) {
        return new UpstreamEntry(
                new UpstreamId(id), SERVICE, new Address("10.0.0.1", 80), dataCentre, 4, false, id.charAt(0) - 'a' + 1);
    }
}
