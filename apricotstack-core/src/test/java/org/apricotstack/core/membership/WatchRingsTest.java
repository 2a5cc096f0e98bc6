package org.apricotstack.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.apricotstack.core.id.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class WatchRingsTest {

    private static List<HostId> hosts(int count) {
        List<HostId> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new HostId("host-" + i));
        }
        return hosts;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 64, 660})
    void eachHostHasABoundedNumberOfNeighboursAndAWatcher(int count) {
        List<HostId> hosts = hosts(count);
        Set<HostId> watched = new HashSet<>();
        for (HostId host : hosts) {
            assertThat(WatchRings.neighbours(hosts, host))
                    .hasSizeLessThanOrEqualTo(2 * WatchRings.RINGS)
                    .doesNotContain(host);
            watched.addAll(WatchRings.successors(hosts, host));
        }
        assertThat(watched).hasSize(count == 1 ? 0 : count);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void reachesAllAliveHostsInAFewHopsAfterTheLossOfADataCentre(long seed) {
        List<HostId> hosts = hosts(660);
        List<HostId> shuffled = new ArrayList<>(hosts);
        Collections.shuffle(shuffled, new Random(seed));
        Set<HostId> alive = new HashSet<>(shuffled.subList(0, 577));
        Set<HostId> reached = new HashSet<>(Set.of(shuffled.get(0)));
        int hops = 0;
        for (int before = 0; before < reached.size(); hops++) {
            before = reached.size();
            for (HostId host : List.copyOf(reached)) {
                WatchRings.neighbours(hosts, host).stream()
                        .filter(alive::contains)
                        .forEach(reached::add);
            }
        }
        assertThat(reached).hasSize(577);
        assertThat(hops).isLessThanOrEqualTo(7);
    }
}
