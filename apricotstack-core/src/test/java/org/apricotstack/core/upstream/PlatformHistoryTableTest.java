package org.apricotstack.core.upstream;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The upstream table after the platform was restored from a backup. */
class PlatformHistoryTableTest {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final long NOW_MILLIS = 10_000;

    private final UpstreamTable table = new UpstreamTable();

    private static UpstreamEntry entry(String id, long history, long revision, boolean draining) {
        return new UpstreamEntry(
                new UpstreamId(id),
                SERVICE,
                new Address("127.0.0.1", 1),
                new DataCentreId("a"),
                4,
                draining,
                Revisions.of(history, revision));
    }

    private List<String> usable() {
        return table.usable(SERVICE).stream().map(entry -> entry.id().value()).toList();
    }

    private void read(long history, long revision, UpstreamEntry... listed) {
        table.replaceAll(List.of(listed), Revisions.of(history, revision), NOW_MILLIS);
        table.removeExpired(NOW_MILLIS);
    }

    @Test
    void comparesRevisionsAcrossHistories() {
        assertThat(Revisions.of(2, 1)).isGreaterThan(Revisions.of(1, 1_000_000));
        assertThat(Revisions.history(Revisions.of(7, 36))).isEqualTo(7);
        assertThat(Revisions.inHistory(Revisions.of(7, 36))).isEqualTo(36);
        assertThat(Revisions.of(0, 36)).isEqualTo(36);
        assertThat(Revisions.text(36)).isEqualTo("36");
        assertThat(Revisions.text(Revisions.of(7, 36))).isEqualTo("7:36");
    }

    @Test
    void acceptsAnEntryWithALowerRevisionOfALaterHistory() {
        read(1, 40, entry("a", 1, 40, false));
        read(2, 36, entry("a", 2, 30, false));
        assertThat(table.put(entry("a", 2, 37, true))).isTrue();
        assertThat(usable()).isEmpty();
    }

    @Test
    void holdsEntriesThatTheBackupLacksForTwoSeconds() {
        read(1, 40, entry("a", 1, 30, false), entry("young", 1, 40, false));
        read(2, 36, entry("a", 2, 30, false));
        assertThat(usable()).containsExactly("a", "young");
        table.put(entry("young", 2, 37, false));
        table.removeExpired(NOW_MILLIS + UpstreamTable.MISSING_GRACE_MILLIS);
        assertThat(usable()).containsExactly("a", "young");
    }

    @Test
    void removesEntriesThatAreNotWrittenAgain() {
        read(1, 40, entry("a", 1, 30, false), entry("young", 1, 40, false));
        read(2, 36, entry("a", 2, 30, false));
        table.removeExpired(NOW_MILLIS + UpstreamTable.MISSING_GRACE_MILLIS);
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void doesNotUseUpstreamsThatHadLeftButAreListedInTheBackup() {
        read(1, 40, entry("a", 1, 30, false), entry("gone", 1, 31, false), entry("leaving", 1, 40, true));
        table.remove(new UpstreamId("gone"), Revisions.of(1, 41));
        read(2, 36, entry("a", 2, 30, false), entry("gone", 2, 31, false), entry("leaving", 2, 32, false));
        assertThat(usable()).containsExactly("a");
        assertThat(table.isDraining(new UpstreamId("leaving"))).isTrue();
        assertThat(table.takeUnconfirmed())
                .containsExactlyInAnyOrder(new UpstreamId("gone"), new UpstreamId("leaving"));
        assertThat(table.takeServingAgain()).isEmpty();
    }

    @Test
    void keepsEntriesUnconfirmedAfterTwoRestoresInARow() {
        read(1, 40, entry("leaving", 1, 40, true));
        read(2, 36, entry("leaving", 2, 32, false));
        read(3, 36, entry("leaving", 3, 32, false));
        assertThat(usable()).isEmpty();
    }

    @Test
    void confirmsAnEntryThatIsWrittenAgain() {
        read(1, 40, entry("leaving", 1, 40, true));
        read(2, 36, entry("leaving", 2, 32, false));
        table.put(entry("leaving", 2, 37, false));
        assertThat(usable()).containsExactly("leaving");
    }

    @Test
    void confirmsAnEntryThatStaysListed() {
        read(1, 40, entry("leaving", 1, 40, true));
        read(2, 36, entry("leaving", 2, 32, false));
        table.removeExpired(NOW_MILLIS + UnconfirmedEntries.CONFIRMATION_MILLIS - 1);
        assertThat(usable()).isEmpty();
        table.removeExpired(NOW_MILLIS + UnconfirmedEntries.CONFIRMATION_MILLIS);
        assertThat(usable()).containsExactly("leaving");
    }

    @Test
    void appliesARemovalOfALaterHistory() {
        read(1, 40, entry("a", 1, 40, false));
        assertThat(table.remove(new UpstreamId("a"), Revisions.of(2, 37))).isTrue();
        assertThat(usable()).isEmpty();
    }

    @Test
    void ignoresAListOfAnEarlierHistory() {
        read(2, 36, entry("a", 2, 36, false));
        read(1, 90, entry("a", 1, 90, true));
        assertThat(usable()).containsExactly("a");
    }
}
