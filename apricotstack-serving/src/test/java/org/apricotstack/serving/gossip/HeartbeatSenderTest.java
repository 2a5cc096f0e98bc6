package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

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
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class HeartbeatSenderTest {

    /** Timeout for a datagram, in seconds. */
    private static final long PATIENCE_SECONDS = 15;

    private static final Address ANY = new Address("127.0.0.1", 0);
    private static final DataCentreId EAST = new DataCentreId("east");

    /** Number of routers with more capacity than the weak sender; enough that it is not chosen to be active. */
    private static final int STRONGER_ROUTERS = 20;

    /** Number of rounds that are checked: one period of the longest interval. */
    private static final int ROUNDS = 48;

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final PeerTable peers = new PeerTable();
    private final OutboundGossipStreams streams = new OutboundGossipStreams(
            loop, peers, () -> NewsFrame.newBuilder().setWhole(true).build());
    private final List<Heartbeat> received = new ArrayList<>();
    private final CountDownLatch lastFrame = new CountDownLatch(1);
    private final HeartbeatPort port = new HeartbeatPort(loop, ANY);
    private final HeartbeatPort receiver = new HeartbeatPort(loop, ANY);

    @BeforeEach
    void receive() {
        receiver.onFrame((frame, sender) -> {
            if (frame.hasHeartbeat()) {
                received.add(frame.getHeartbeat());
            } else {
                lastFrame.countDown();
            }
        });
        for (int i = 0; i < STRONGER_ROUTERS; i++) {
            addPeer(peer("strong-" + i, EAST, new Address("127.0.0.1", 1 + i), 150, true));
        }
    }

    @AfterEach
    void stop() {
        streams.close();
        port.close();
        receiver.close();
        loop.close();
        log.close();
    }

    private static Peer peer(
            String host, DataCentreId dataCentre, Address address, int capacityPercent, boolean takesCallers) {
        return new Peer(
                new ProcessId(new HostId(host), 1),
                dataCentre,
                address,
                address,
                true,
                1,
                1,
                capacityPercent,
                0,
                takesCallers,
                60_000);
    }

    private void addPeer(Peer peer) {
        peers.recordHeartbeat(peer, 0);
        streams.reported(peer);
    }

    /** Fails on any message, as nobody sends one to this router. */
    private static final class UnusedHandler implements GossipHandler {
        @Override
        public void frame(NewsFrame frame, InboundGossipStream stream) {
            throw new AssertionError("Nobody sends here.");
        }

        @Override
        public NewsReply documents(DocumentRequest request) {
            throw new AssertionError("Nobody asks here.");
        }

        @Override
        public void reply(NewsReply reply, String source) {
            throw new AssertionError("Nothing was asked.");
        }
    }

    private HeartbeatSender sender(int capacityPercent) {
        PublishedState state =
                new PublishedState(null, new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
        RouterIdentity identity = new RouterIdentity(
                new ProcessId(new HostId("self"), 1), EAST, port.address(), port.address(), capacityPercent);
        OwnHeartbeat own = new OwnHeartbeat(loop, identity, peers, state, () -> true, new RequestRate(0), () -> true);
        return new HeartbeatSender(
                new UnusedHandler(),
                own,
                peers,
                streams,
                port,
                new StartPhase(0),
                port.address(),
                () -> 1_000,
                () -> false);
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    /**
     * Guards against idle standby routers that use a tenth of a core. They did when each router sent a heartbeat to
     * each other one every second, whether or not the receiver needed it that often.
     */
    @ParameterizedTest
    @CsvSource({
        "10, east, true, 16, 3000",
        "10, west, true, 4, 12000",
        "10, east, false, 4, 12000",
        "10, west, false, 1, 48000",
        "200, east, true, 48, 1000",
        "200, west, true, 48, 1000",
        "200, east, false, 48, 1000",
        "200, west, false, 16, 3000"
    })
    void sendsToEachRouterAsOftenAsItNeeds(
            int capacityPercent,
            String dataCentre,
            boolean peerTakesCallers,
            int expectedHeartbeats,
            int expectedNextMillis)
            throws InterruptedException {
        addPeer(peer("receiver", new DataCentreId(dataCentre), receiver.address(), 5, peerTakesCallers));
        HeartbeatSender sender = sender(capacityPercent);
        onLoop(() -> {
            sender.sendToAllRouters(StartPhase.START_MILLIS);
            received.clear();
            for (int i = 0; i < ROUNDS; i++) {
                sender.sendHeartbeats(StartPhase.START_MILLIS);
            }
            port.send(
                    receiver.address(),
                    EncodedFrame.of(NewsFrame.newBuilder().addEnded(1).build()));
        });
        assertThat(lastFrame.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        // The heartbeat that went to all routers before the first round arrives too.
        assertThat(received).hasSize(expectedHeartbeats + 1);
        assertThat(received).extracting(Heartbeat::getNextMillis).containsOnly(expectedNextMillis);
    }

    /**
     * Guards against a standby router that is suspected a few seconds after its first heartbeat. All routers introduce
     * themselves to a newcomer at once; the introduction announced the next heartbeat too early.
     */
    @Test
    void announcesTheLongestIntervalInAnIntroduction() throws InterruptedException {
        Peer newcomer = peer("receiver", EAST, receiver.address(), 5, false);
        HeartbeatSender sender = sender(10);
        onLoop(() -> {
            sender.introduce(newcomer);
            port.send(
                    receiver.address(),
                    EncodedFrame.of(NewsFrame.newBuilder().addEnded(1).build()));
        });
        assertThat(lastFrame.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(received)
                .singleElement()
                .extracting(Heartbeat::getNextMillis)
                .isEqualTo(12_000);
    }

    /**
     * Guards against routers that start together and use twice the processor time of one that starts alone. Each knows
     * few others at first, assumes a small fleet, and opened streams to all of them before there was anything to
     * report.
     */
    @Test
    void opensStreamsFromTheFirstPlacementOn() {
        HeartbeatSender sender = sender(200);
        onLoop(() -> {
            sender.sendHeartbeats(0);
            assertThat(sender.takesCallers()).isTrue();
            assertThat(streams.size()).isZero();
            sender.onPlacement();
            assertThat(streams.size()).isEqualTo(STRONGER_ROUTERS);
        });
    }

    @Test
    void opensNoStreamsAsAStandbyRouter() {
        HeartbeatSender sender = sender(10);
        onLoop(() -> {
            sender.sendHeartbeats(0);
            sender.onPlacement();
            assertThat(sender.takesCallers()).isFalse();
            assertThat(streams.size()).isZero();
        });
    }
}
