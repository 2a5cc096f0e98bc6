package org.apricotstack.core.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AnnouncementTargetsTest {

    private static final int ROUTERS_PER_DATA_CENTRE = 10;

    private final AnnouncementTargets targets = new AnnouncementTargets();
    private final Peer own = peer("own", "east");
    private final List<Peer> others = IntStream.range(0, 3 * ROUTERS_PER_DATA_CENTRE)
            .mapToObj(i -> peer("router-" + i, List.of("east", "west", "south").get(i % 3)))
            .toList();

    private static Peer peer(String host, String dataCentre) {
        Address address = new Address("127.0.0.1", 1);
        return new Peer(
                new ProcessId(new HostId(host), 1),
                new DataCentreId(dataCentre),
                address,
                address,
                true,
                1,
                1,
                75,
                0,
                true,
                500);
    }

    private static long count(List<Peer> peers, String dataCentre) {
        return peers.stream()
                .filter(peer -> peer.dataCentre().value().equals(dataCentre))
                .count();
    }

    @Test
    void tellsItsWholeDataCentreAndSomeOfEachOtherIfItIsTheFirst() {
        List<Peer> told = targets.choose(own, others, true, 2);
        assertThat(count(told, "east")).isEqualTo(ROUTERS_PER_DATA_CENTRE);
        assertThat(count(told, "west")).isEqualTo(AnnouncementTargets.REMOTE_FAN_OUT);
        assertThat(count(told, "south")).isEqualTo(AnnouncementTargets.REMOTE_FAN_OUT);
    }

    @Test
    void tellsAFewOfItsDataCentreIfAnotherRouterToldItsDataCentre() {
        List<Peer> told = targets.choose(own, others, false, 2);
        assertThat(told).hasSize(AnnouncementTargets.FAN_OUT);
        assertThat(count(told, "east")).isEqualTo(AnnouncementTargets.FAN_OUT);
    }

    @Test
    void tellsOtherRoutersOfEachVersion() {
        Set<Peer> told = new HashSet<>();
        for (int version = 2; version < 30; version++) {
            told.addAll(targets.choose(own, others, false, version));
        }
        assertThat(told).hasSize(ROUTERS_PER_DATA_CENTRE);
    }
}
