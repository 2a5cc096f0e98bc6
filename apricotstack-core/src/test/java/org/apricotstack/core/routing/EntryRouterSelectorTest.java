package org.apricotstack.core.routing;

import java.util.Set;
import java.util.TreeMap;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.MemberRecord;
import org.apricotstack.core.membership.MemberState;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryRouterSelectorTest {

    private static final Address ANYWHERE = new Address("127.0.0.1", 1);
    private static final DataCentreId OWN = new DataCentreId("dc-a");
    private static final HostId NEAR = new HostId("near");
    private static final HostId FRESH = new HostId("fresh");
    private static final HostId FAR = new HostId("far");

    private final MembershipTable table = new MembershipTable(new ProcessId(NEAR, 1), 1_000);

    private MemberView view() {
        TreeMap<HostId, RosterHost> routers = new TreeMap<>();
        routers.put(NEAR, new RosterHost(NEAR, OWN, ANYWHERE, ANYWHERE, false));
        routers.put(FRESH, new RosterHost(FRESH, OWN, ANYWHERE, ANYWHERE, false));
        routers.put(FAR, new RosterHost(FAR, new DataCentreId("dc-b"), ANYWHERE, ANYWHERE, false));
        return MemberView.of(1, new Roster(1, routers, Set.of()), table);
    }

    /**
     * Guards against callers that are refused with no_configuration while hosts are replaced: callers were sent to all
     * listed routers that were not suspected, but a new router is listed and answers probes before it has a
     * configuration.
     */
    @Test
    void leavesOutRoutersThatAreNotKnownToServe() {
        EntryRouterSelector selector = new EntryRouterSelector(OWN, host -> !host.equals(FRESH), 8);
        assertThat(selector.select(view(), "10.0.0.1")).containsExactly(NEAR, FAR);
    }

    @Test
    void selectsAllUsableRoutersWhileNoneIsKnownToServe() {
        EntryRouterSelector selector = new EntryRouterSelector(OWN, host -> false, 8);
        assertThat(selector.select(view(), "10.0.0.1")).containsExactlyInAnyOrder(NEAR, FRESH, FAR);
    }

    @Test
    void leavesOutSuspectsAndLimitsTheNumberOfRouters() {
        table.merge(new MemberRecord(FAR, 1, 0, MemberState.SUSPECT), 0);
        assertThat(new EntryRouterSelector(OWN, host -> true, 8).select(view(), "10.0.0.1"))
                .containsExactlyInAnyOrder(NEAR, FRESH);
        assertThat(new EntryRouterSelector(OWN, host -> true, 1).select(view(), "10.0.0.1"))
                .hasSize(1);
    }
}
