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

    /** Longest time that a test waits for a datagram, in seconds; it fails then. */
    private static final long PATIENCE_SECONDS = 15;

    private static final Address ANY = new Address("127.0.0.1", 0);
    private static final DataCentreId EAST = new DataCentreId("east");

    /** Routers that are stronger than the one that is looked at: more than all take callers in, with it. */
    private static final int STRONGER = 20;

    /** Beats that are looked at: a whole round. */
    private static final int BEATS = 48;

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final PeerTable peers = new PeerTable();
    private final OutboundGossipStreams links = new OutboundGossipStreams(
            loop, peers, () -> NewsFrame.newBuilder().setWhole(true).build());
    private final List<Heartbeat> arrived = new ArrayList<>();
    private final CountDownLatch last = new CountDownLatch(1);
    private final HeartbeatPort port = new HeartbeatPort(loop, ANY);
    private final HeartbeatPort receiver = new HeartbeatPort(loop, ANY);

    @BeforeEach
    void receive() {
        receiver.take((frame, sender) -> {
            if (frame.hasHeartbeat()) {
                arrived.add(frame.getHeartbeat());
            } else {
                last.countDown();
            }
        });
        for (int i = 0; i < STRONGER; i++) {
            hear(peer("strong-" + i, EAST, new Address("127.0.0.1", 1 + i), 150, true));
        }
    }

    @AfterEach
    void stop() {
        links.close();
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

    private void hear(Peer peer) {
        peers.recordHeartbeat(peer, 0);
        links.heard(peer);
    }

    /** Takes nothing, as nobody sends here. */
    private static final class Nothing implements GossipHandler {
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
                new Nothing(), own, peers, links, port, new StartPhase(0), port.address(), () -> 1_000, () -> false);
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    /**
     * Symptom: routers that stand by use a tenth of a core while nothing happens. Sequence: each tells each other every
     * second that it is there. Cause: all heard of all equally often, whoever needs to know of whom.
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
    void tellsEachRouterAsOftenAsItNeedsToKnow(
            int capacityPercent, String dataCentre, boolean peerTakesCallers, int expectedBeats, int expectedNextMillis)
            throws InterruptedException {
        hear(peer("receiver", new DataCentreId(dataCentre), receiver.address(), 5, peerTakesCallers));
        HeartbeatSender sender = sender(capacityPercent);
        onLoop(() -> {
            sender.beatToAll(StartPhase.YOUNG_MILLIS);
            arrived.clear();
            for (int i = 0; i < BEATS; i++) {
                sender.beat(StartPhase.YOUNG_MILLIS);
            }
            port.send(
                    receiver.address(),
                    EncodedFrame.of(NewsFrame.newBuilder().addEnded(1).build()));
        });
        assertThat(last.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        // The one that went to all before the round arrives too.
        assertThat(arrived).hasSize(expectedBeats + 1);
        assertThat(arrived).extracting(Heartbeat::getNextMillis).containsOnly(expectedNextMillis);
    }

    /**
     * Symptom: a router that stands by is suspected a few seconds after it was heard first. Sequence: one that has just
     * started is told of the others at once, by all of them. Cause: what they said of their next heartbeat was too
     * soon.
     */
    @Test
    void saysInAnIntroductionThatTheNextHeartbeatMayBeFar() throws InterruptedException {
        Peer young = peer("receiver", EAST, receiver.address(), 5, false);
        HeartbeatSender sender = sender(10);
        onLoop(() -> {
            sender.introduce(young);
            port.send(
                    receiver.address(),
                    EncodedFrame.of(NewsFrame.newBuilder().addEnded(1).build()));
        });
        assertThat(last.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(arrived).singleElement().extracting(Heartbeat::getNextMillis).isEqualTo(12_000);
    }

    /**
     * Symptom: routers that start together use twice the processor time of one that starts alone. Sequence: each has
     * heard of few others, so takes itself for part of a small fleet, and opens streams to all of them. Cause: streams
     * were opened before there was anything to tell.
     */
    @Test
    void opensStreamsFromTheFirstPlacementOn() {
        HeartbeatSender sender = sender(200);
        onLoop(() -> {
            sender.beat(0);
            assertThat(sender.takesCallers()).isTrue();
            assertThat(links.size()).isZero();
            sender.placed();
            assertThat(links.size()).isEqualTo(STRONGER);
        });
    }

    @Test
    void opensNoStreamsWhereItStandsBy() {
        HeartbeatSender sender = sender(10);
        onLoop(() -> {
            sender.beat(0);
            sender.placed();
            assertThat(sender.takesCallers()).isFalse();
            assertThat(links.size()).isZero();
        });
    }
}
