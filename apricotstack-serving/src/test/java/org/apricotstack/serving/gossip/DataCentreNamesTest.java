package org.apricotstack.serving.gossip;

import com.google.protobuf.InvalidProtocolBufferException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.upstream.Evacuation;
import org.apricotstack.wire.news.DataCentreEvacuation;
import org.apricotstack.wire.news.Heartbeat;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Names of data centres in messages between routers. */
class DataCentreNamesTest {

    private static final ProcessId ROUTER = new ProcessId(new HostId("host-1"), 1);

    @ParameterizedTest
    @ValueSource(strings = {"east", "Austin Hall", "austin/hall", "Derby\u00e9", "\ud83c\udf51"})
    void areTheSameAtOtherRouters(String name) throws InvalidProtocolBufferException {
        DataCentreId dataCentre = new DataCentreId(name);
        Address address = new Address("127.0.0.1", 1);
        Peer own = new Peer(ROUTER, dataCentre, address, address, true, 1, 1, 100, 0, true, 0);
        byte[] heartbeat = GossipMessages.heartbeat(own).build().toByteArray();
        assertThat(GossipMessages.peer(ROUTER, Heartbeat.parseFrom(heartbeat)).dataCentre())
                .isEqualTo(dataCentre);
        byte[] evacuation =
                GossipMessages.evacuation(Evacuation.listed(dataCentre, 1), 0).toByteArray();
        assertThat(GossipMessages.evacuation(DataCentreEvacuation.parseFrom(evacuation), 0)
                        .dataCentre())
                .isEqualTo(dataCentre);
    }
}
