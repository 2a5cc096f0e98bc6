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
    void choosesItsWholeDataCentreAndTwoOfEachOtherForTheFirstRouter() {
        List<Peer> chosen = targets.choose(own, others, true, 2);
        assertThat(count(chosen, "east")).isEqualTo(ROUTERS_PER_DATA_CENTRE);
        assertThat(count(chosen, "west")).isEqualTo(2);
        assertThat(count(chosen, "south")).isEqualTo(2);
    }

    @Test
    void choosesTwoOfItsDataCentreForEachFurtherRouter() {
        List<Peer> chosen = targets.choose(own, others, false, 2);
        assertThat(chosen).hasSize(2);
        assertThat(count(chosen, "east")).isEqualTo(2);
    }

    @Test
    void choosesOtherRoutersForEachVersion() {
        Set<Peer> chosen = new HashSet<>();
        for (int version = 2; version < 30; version++) {
            chosen.addAll(targets.choose(own, others, false, version));
        }
        assertThat(chosen).hasSize(ROUTERS_PER_DATA_CENTRE);
    }
}
