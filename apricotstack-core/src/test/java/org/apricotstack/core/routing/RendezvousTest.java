package org.apricotstack.core.routing;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RendezvousTest {

    @Test
    void movesOnlyTheKeysOfARemovedHost() {
        List<HostId> hosts = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            hosts.add(new HostId("h" + i));
        }
        HostId removed = hosts.get(7);
        List<HostId> remaining = new ArrayList<>(hosts);
        remaining.remove(removed);
        int moved = 0;
        for (int key = 0; key < 2_000; key++) {
            HostId before = Rendezvous.first("k" + key, hosts);
            HostId after = Rendezvous.first("k" + key, remaining);
            if (before.equals(removed)) {
                moved++;
                assertThat(after).isEqualTo(Rendezvous.order("k" + key, hosts).get(1));
            } else {
                assertThat(after).isEqualTo(before);
            }
        }
        assertThat(moved).isBetween(50, 150);
    }
}
