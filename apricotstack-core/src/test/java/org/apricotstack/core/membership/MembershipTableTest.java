package org.apricotstack.core.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipTableTest {

    private static final HostId OTHER = new HostId("other");
    private static final ProcessId SELF = new ProcessId(new HostId("self"), 5);

    private final MembershipTable table = new MembershipTable(SELF, 1_000);

    @ParameterizedTest
    @CsvSource({
        "1, 0, SUSPECT, 1, 0, ALIVE, true",
        "1, 0, ALIVE, 1, 0, SUSPECT, false",
        "1, 1, ALIVE, 1, 0, SUSPECT, true",
        "1, 1, ALIVE, 1, 0, DEAD, true",
        "1, 0, DEAD, 1, 0, SUSPECT, true",
        "2, 0, ALIVE, 1, 9, DEAD, true",
        "1, 9, DEAD, 2, 0, ALIVE, false",
        "1, 0, ALIVE, 1, 0, ALIVE, false"
    })
    void ordersRecords(
            long incarnation,
            int refutation,
            MemberState state,
            long otherIncarnation,
            int otherRefutation,
            MemberState otherState,
            boolean expected) {
        MemberRecord record = new MemberRecord(OTHER, incarnation, refutation, state);
        assertThat(record.supersedes(new MemberRecord(OTHER, otherIncarnation, otherRefutation, otherState)))
                .isEqualTo(expected);
    }

    @Test
    void refutesASuspicionOfItself() {
        table.merge(new MemberRecord(SELF.host(), 5, 0, MemberState.SUSPECT), 0);
        assertThat(table.gossip(8)).contains(new MemberRecord(SELF.host(), 5, 1, MemberState.ALIVE));
    }

    /**
     * Guards against a paused process that continues to accept requests although its host was restarted in the meantime
     * and another process has replaced it.
     */
    @Test
    void detectsThatItWasReplaced() {
        assertThat(table.isReplaced()).isFalse();
        table.merge(new MemberRecord(SELF.host(), 6, 0, MemberState.ALIVE), 0);
        assertThat(table.isReplaced()).isTrue();
    }

    @Test
    void declaresSuspectsDeadAndRestartedHostsAlive() {
        table.recordAlive(new ProcessId(OTHER, 1), 0);
        table.suspect(OTHER, 100);
        assertThat(table.expireSuspicions(1_099)).isEmpty();
        assertThat(table.expireSuspicions(1_100)).isEqualTo(List.of(OTHER));
        assertThat(table.state(OTHER)).isEqualTo(MemberState.DEAD);
        table.recordAlive(new ProcessId(OTHER, 2), 1_200);
        assertThat(table.state(OTHER)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void refutationKeepsTheLeavingState() {
        table.announce(MemberState.LEAVING, 0);
        table.merge(new MemberRecord(SELF.host(), 5, 0, MemberState.DEAD), 0);
        assertThat(table.gossip(8)).contains(new MemberRecord(SELF.host(), 5, 1, MemberState.LEAVING));
    }

    @Test
    void limitsRecordsPerMessageAndSendsAllExceptionsInTurn() {
        for (int i = 0; i < 40; i++) {
            table.merge(new MemberRecord(new HostId("h" + i), 1, 0, MemberState.DEAD), 0);
        }
        Set<HostId> sent = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<MemberRecord> gossip = table.gossip(8);
            assertThat(gossip).hasSizeLessThanOrEqualTo(8).doesNotHaveDuplicates();
            if (i >= 100) {
                gossip.forEach(record -> sent.add(record.host()));
            }
        }
        assertThat(sent).hasSize(40);
    }
}
