package org.apricotstack.core.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServingHostsTest {

    private static final HostId SELF = new HostId("router-0");
    private static final HostId OTHER = new HostId("router-1");
    private static final Address ANYWHERE = new Address("127.0.0.1", 1);

    private final ServingHosts serving = new ServingHosts();
    private final MembershipTable table = new MembershipTable(new ProcessId(SELF, 1), 1_000);

    /**
     * Guards against requests that are refused as not run (no_configuration) although other routers would have served
     * them. Every router that answered probes was listed for callers, but a router that has just started answers probes
     * before it has a configuration.
     */
    @Test
    void countsOnlyRoutersThatReportedThatTheyServe() {
        serving.recordStatus(new ProcessId(OTHER, 7), false);
        assertThat(serving.serves(OTHER, 7)).isFalse();
        serving.recordStatus(new ProcessId(OTHER, 7), true);
        assertThat(serving.serves(OTHER, 7)).isTrue();
    }

    @Test
    void restartInvalidatesTheReport() {
        serving.recordStatus(new ProcessId(OTHER, 7), true);
        assertThat(serving.serves(OTHER, 8)).isFalse();
    }

    @Test
    void ignoresALateReportOfAnEarlierProcess() {
        serving.recordStatus(new ProcessId(OTHER, 8), true);
        serving.recordStatus(new ProcessId(OTHER, 7), false);
        assertThat(serving.serves(OTHER, 8)).isTrue();
    }

    @Test
    void probesAllUnconfirmedRoutersInTurn() {
        TreeMap<HostId, RosterHost> routers = new TreeMap<>();
        for (int i = 0; i < 9; i++) {
            HostId host = new HostId("router-" + i);
            routers.put(host, new RosterHost(host, new DataCentreId("dc-a"), ANYWHERE, ANYWHERE, false));
        }
        MemberView view = MemberView.of(1, new Roster(1, routers, Set.of()), table);
        serving.recordStatus(new ProcessId(OTHER, 1), true);
        Set<HostId> probed = new HashSet<>();
        for (int turn = 0; turn < 2; turn++) {
            List<RosterHost> picked = serving.unconfirmed(view, table, turn, 4);
            picked.forEach(host -> probed.add(host.id()));
        }
        assertThat(probed).hasSize(8).doesNotContain(OTHER);
    }
}
