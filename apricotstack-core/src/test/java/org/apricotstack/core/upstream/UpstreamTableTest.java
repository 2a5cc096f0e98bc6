package org.apricotstack.core.upstream;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamTableTest {

    private static final ServiceId SERVICE = new ServiceId("service");

    private final UpstreamTable table = new UpstreamTable();

    private static UpstreamEntry entry(String id, long revision, boolean draining) {
        return new UpstreamEntry(
                new UpstreamId(id), SERVICE, new Address("127.0.0.1", 1), new DataCentreId("a"), 4, draining, revision);
    }

    private List<String> usable() {
        return table.usable(SERVICE).stream().map(entry -> entry.id().value()).toList();
    }

    @Test
    void listsWhatIsReadyInOneOrder() {
        table.put(entry("b", 2, false));
        table.put(entry("a", 3, false));
        table.put(entry("c", 4, true));
        assertThat(usable()).containsExactly("a", "b");
        table.put(entry("a", 5, true));
        assertThat(usable()).containsExactly("b");
    }

    @Test
    void ignoresWhatIsOlderThanWhatItKnows() {
        table.put(entry("a", 5, true));
        assertThat(table.put(entry("a", 4, false))).isFalse();
        table.remove(new UpstreamId("a"), 7);
        assertThat(table.put(entry("a", 6, false))).isFalse();
        assertThat(usable()).isEmpty();
        assertThat(table.put(entry("a", 8, false))).isTrue();
        table.remove(new UpstreamId("a"), 6);
        assertThat(usable()).containsExactly("a");
    }

    /**
     * Symptom: a service had no upstreams right after the platform came back. Sequence: the platform is away
     * longer than
     * entries last, comes back without them, and they return within two seconds. Cause: missing entries were taken for
     * upstreams that had left.
     */
    @Test
    void holdsEntriesThatAreMissingRightAfterAnOutage() {
        table.put(entry("a", 1, false));
        table.put(entry("b", 2, false));
        table.platformReturned(1_000);
        table.replaceAll(List.of(), 10, 1_000);
        assertThat(usable()).containsExactly("a", "b");
        table.put(entry("a", 12, false));
        table.removeExpired(1_000 + UpstreamTable.MISSING_GRACE_MILLIS);
        assertThat(table.takeRemoved()).extracting(entry -> entry.id().value()).containsExactly("b");
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void takesAMissingEntryOffAtOnceAtAnyOtherTime() {
        table.put(entry("a", 1, false));
        table.put(entry("b", 2, false));
        assertThat(table.replaceAll(List.of(entry("b", 2, false)), 10, 1_000)).isTrue();
        assertThat(usable()).containsExactly("b");
    }

    private static UpstreamEntry started(long incarnation, long revision) {
        UpstreamEntry entry = entry("a", revision, false);
        return new UpstreamEntry(
                new UpstreamId("a", incarnation),
                entry.service(),
                entry.address(),
                entry.dataCentre(),
                entry.slots(),
                false,
                revision);
    }

    @Test
    void takesAnotherStartForAnotherUpstream() {
        UpstreamEntry before = started(100, 1);
        UpstreamEntry after = started(200, 2);
        table.put(before);
        assertThat(table.put(after)).isTrue();
        assertThat(table.usable(SERVICE)).containsExactly(after);
        assertThat(table.takeRemoved()).containsExactly(before);
        assertThat(table.takeRemoved()).isEmpty();
        assertThat(table.find(before.id())).isNull();
        assertThat(table.find(after.id())).isEqualTo(after);
        assertThat(table.hasRestarted(before.id())).isTrue();
        assertThat(table.hasRestarted(after.id())).isFalse();
    }

    /**
     * Symptom: prompts wait at an engine for what ran there before it started again. Sequence: the last heartbeat of
     * the earlier start reaches the platform after the first of the later one. Cause: the newest word was believed,
     * whoever spoke.
     */
    @Test
    void ignoresALateWordOfAnEarlierStart() {
        UpstreamEntry after = started(200, 2);
        table.put(after);
        assertThat(table.put(started(100, 3))).isFalse();
        table.replaceAll(List.of(started(100, 4)), 4, 0);
        assertThat(table.usable(SERVICE)).containsExactly(after);
        assertThat(table.remove(new UpstreamId("a"), 5)).isTrue();
        assertThat(table.takeRemoved()).containsExactly(after);
    }

    @Test
    void keepsAnEntryThatIsNewerThanAList() {
        table.put(entry("a", 20, false));
        table.replaceAll(List.of(), 10, 0);
        assertThat(usable()).containsExactly("a");
    }

    /**
     * Symptom: a request reached an upstream 2.1 s after it had left. Sequence: a router that was cut from the platform
     * reads its list again; 60 ms later an upstream leaves without having said so, and its removal is told. Cause: any
     * removal in the two seconds after an outage was taken for an entry that would come back.
     */
    @Test
    void takesAnUpstreamOffWhoseRemovalIsToldRightAfterAnOutage() {
        table.put(entry("a", 1, false));
        table.put(entry("b", 2, false));
        table.platformReturned(1_000);
        table.replaceAll(List.of(entry("a", 1, false)), 10, 1_000);
        assertThat(usable()).containsExactly("a", "b");
        assertThat(table.remove(new UpstreamId("a"), 11)).isTrue();
        assertThat(table.remove(new UpstreamId("b"), 12)).isTrue();
        assertThat(usable()).isEmpty();
    }
}
