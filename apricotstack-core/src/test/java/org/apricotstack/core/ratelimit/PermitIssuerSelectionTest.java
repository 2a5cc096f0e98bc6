package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PermitIssuerSelectionTest {

    private static List<HostId> hosts(int number) {
        List<HostId> hosts = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            hosts.add(new HostId("host-" + i));
        }
        return hosts;
    }

    @Test
    void isEqualAtAllConnectedRouters() {
        List<HostId> hosts = hosts(7);
        List<HostId> reversed = new ArrayList<>(hosts);
        Collections.reverse(reversed);
        UpstreamId upstream = new UpstreamId("upstream", 1);
        assertThat(PermitIssuerSelection.of(upstream, hosts, 0))
                .isEqualTo(PermitIssuerSelection.of(upstream, reversed, 0));
    }

    @Test
    void distributesTheLimitsOfManyUpstreams() {
        Set<HostId> issuers = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            issuers.add(PermitIssuerSelection.of(new UpstreamId("upstream-" + i), hosts(7), 0)
                    .host());
        }
        assertThat(issuers).hasSize(7);
    }

    @Test
    void splitsTheLimitBetweenPartitions() {
        UpstreamId upstream = new UpstreamId("upstream");
        double one =
                PermitIssuerSelection.of(upstream, hosts(7).subList(0, 3), 4).share();
        double other =
                PermitIssuerSelection.of(upstream, hosts(7).subList(3, 7), 3).share();
        assertThat(one + other).isEqualTo(1);
    }

    @Test
    void selectsNoIssuerWithoutRouters() {
        assertThat(PermitIssuerSelection.of(new UpstreamId("upstream"), List.of(), 3))
                .isEqualTo(new PermitIssuerSelection(null, 0));
    }
}
