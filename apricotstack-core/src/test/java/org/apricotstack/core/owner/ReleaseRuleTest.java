package org.apricotstack.core.owner;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.MembershipTable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReleaseRuleTest {

    /**
     * Guards against two faults: during a network partition, one side releases streams that the other side still serves
     * because it does not know them; or the memory of a dead router, whose answers nobody can forward, is never
     * released.
     */
    @ParameterizedTest
    @CsvSource({
        "100, 1000, 5, false",
        "2001, 1000, 5, true",
        "1999, 1000, 5, false",
        "100, 1000, 4, true",
        "100, 1000, 6, false"
    })
    void releasesOnlyOrphanedMemory(long ageMillis, long limitMillis, long owner, boolean expected) {
        MembershipTable members = new MembershipTable(new ProcessId(new HostId("self"), 1), 1_000);
        members.recordAlive(new ProcessId(new HostId("other"), 5), 0);
        HeldStream held = new HeldStream("r~1", new ProcessId(new HostId("other"), owner), ageMillis, limitMillis);
        assertThat(ReleaseRule.mayRelease(held, members)).isEqualTo(expected);
    }
}
