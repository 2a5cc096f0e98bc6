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
    void listsServingUpstreamsSortedById() {
        table.put(entry("b", 2, false));
        table.put(entry("a", 3, false));
        table.put(entry("c", 4, true));
        assertThat(usable()).containsExactly("a", "b");
        table.put(entry("a", 5, true));
        assertThat(usable()).containsExactly("b");
    }

    @Test
    void ignoresOutdatedEntriesAndRemovals() {
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
     * Guards against a service without upstreams right after an outage of the platform: entries expired during the
     * outage and were written again within two seconds of the platform's return, but were treated as upstreams that had
     * left.
     */
    @Test
    void holdsMissingEntriesRightAfterAnOutage() {
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
    void removesAMissingEntryAtOnceAtAnyOtherTime() {
        table.put(entry("a", 1, false));
        table.put(entry("b", 2, false));
        assertThat(table.replaceAll(List.of(entry("b", 2, false)), 10, 1_000)).isTrue();
        assertThat(usable()).containsExactly("b");
    }

    private static UpstreamEntry incarnation(long incarnation, long revision) {
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
    void replacesAnIncarnationByTheNextOne() {
        UpstreamEntry before = incarnation(100, 1);
        UpstreamEntry after = incarnation(200, 2);
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
     * Guards against prompts that wait for requests of an engine's previous incarnation: the last heartbeat of that
     * incarnation reached the platform after the first heartbeat of the next one and replaced its entry.
     */
    @Test
    void ignoresADelayedUpdateOfAnEarlierIncarnation() {
        UpstreamEntry after = incarnation(200, 2);
        table.put(after);
        assertThat(table.put(incarnation(100, 3))).isFalse();
        table.replaceAll(List.of(incarnation(100, 4)), 4, 0);
        assertThat(table.usable(SERVICE)).containsExactly(after);
        assertThat(table.remove(new UpstreamId("a"), 5)).isTrue();
        assertThat(table.takeRemoved()).containsExactly(after);
    }

    @Test
    void keepsAnEntryThatIsNewerThanTheList() {
        table.put(entry("a", 20, false));
        table.replaceAll(List.of(), 10, 0);
        assertThat(usable()).containsExactly("a");
    }

    /**
     * Guards against sending a request to an upstream 2.1 s after it left: a router reconnected to the platform and
     * read its list, and 60 ms later an upstream left without announcing it. The reported removal was treated as an
     * expired entry that would be written again, as any removal within two seconds after an outage was.
     */
    @Test
    void removesAnUpstreamWhoseRemovalIsReportedRightAfterAnOutage() {
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
