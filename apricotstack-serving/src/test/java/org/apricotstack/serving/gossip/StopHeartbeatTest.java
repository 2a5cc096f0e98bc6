package org.apricotstack.serving.gossip;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.RequestRate;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What heartbeats tell of a stopping router. */
class StopHeartbeatTest {

    private static final long LEFT_MILLIS = 3_200;

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    /** A router that stops for 3.2 more seconds. */
    private static final class Stopping implements Readiness {
        @Override
        public boolean ready() {
            return false;
        }

        @Override
        public long stopLeftMillis() {
            return LEFT_MILLIS;
        }
    }

    @Test
    void tellsTheOtherRoutersHowLongAStoppingRouterTakesRequests() {
        Address address = new Address("127.0.0.1", 1);
        ProcessId process = new ProcessId(new HostId("self"), 1);
        RouterIdentity identity = new RouterIdentity(process, new DataCentreId("east"), address, address, 100);
        PublishedState state =
                new PublishedState(null, new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
        OwnHeartbeat own = new OwnHeartbeat(
                loop, identity, new PeerTable(), state, new Stopping(), new RequestRate(0), () -> true);
        Peer received = GossipMessages.peer(
                process, GossipMessages.heartbeat(own.peer(true, 500)).build());
        assertThat(received.ready()).isFalse();
        assertThat(received.stopLeftMillis()).isEqualTo(LEFT_MILLIS);
    }
}
