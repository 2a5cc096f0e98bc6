package org.apricotstack.serving;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.gossip.GossipHub;
import org.apricotstack.serving.gossip.HeartbeatPort;
import org.apricotstack.serving.gossip.Readiness;
import org.apricotstack.serving.gossip.RouterIdentity;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.serving.run.RequestDispatcher;
import org.apricotstack.serving.run.ServingContext;
import org.apricotstack.serving.run.StopGate;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What the other routers are told of a stop, on a clock that the test sets. */
class StopSequenceTest {

    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final int MAX_DATAGRAM_BYTES = 1_400;
    private static final long STOP_MILLIS = 8_000;
    private static final Address ANY = new Address("127.0.0.1", 0);
    private static final ProcessId PROCESS = new ProcessId(new HostId("self"), 1);
    private static final DataCentreId EAST = new DataCentreId("east");

    /** Sent after the heartbeats that a test reads. */
    private static final byte[] LAST =
            NewsFrame.newBuilder().addEnded(1).build().toByteArray();

    private volatile long nowMillis;
    private volatile boolean last;
    private final AddressLifetime lifetime = new AddressLifetime(1);
    private final StopPolicy policy = new StopPolicy(STOP_MILLIS, lifetime);
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("self", () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final PeerTable peers = new PeerTable();
    private final HeartbeatPort port = new HeartbeatPort(loop, ANY);
    private final GossipHub hub = new GossipHub(
            loop,
            peers,
            loadTable,
            new OutlierDetector(),
            new SuspectTable(PROCESS, suspect -> {}),
            LimitsInForce.advertisedOnly(new LimitTable()),
            new DrainTable(),
            PROCESS.host(),
            new PublishedState(null, upstreams, new OutlierDetector(), loadTable, log),
            log,
            new OwnReadiness(),
            () -> true,
            () -> {});
    private final RequestDispatcher runs = new RequestDispatcher(context());
    private final CallerServer callers = new CallerServer(loop, head -> null, runs, () -> CallerLimits.DEFAULT, 1);
    private volatile int relaysInUse;
    private volatile Throwable relayFailure;
    private final StopSequence sequence = new StopSequence(
            loop,
            callers,
            runs,
            this::relays,
            hub,
            new StopGate(policy, () -> OtherRouters.NONE, loadTable, new StallDetector(0)),
            () -> last,
            log);
    private final List<Heartbeat> received = new ArrayList<>();
    private DatagramSocket receiver;

    private int relays() {
        if (relayFailure instanceof Error error) {
            throw error;
        }
        if (relayFailure != null) {
            throw (RuntimeException) relayFailure;
        }
        return relaysInUse;
    }

    /** Tells the other routers of the stop. */
    private final class OwnReadiness implements Readiness {
        @Override
        public boolean ready() {
            return !policy.timeline().stopping();
        }

        @Override
        public long stopLeftMillis() {
            return policy.timeline().takesRequestsMillis(nowMillis);
        }
    }

    private ServingContext context() {
        return new ServingContext(
                PROCESS,
                EAST,
                loop,
                () -> null,
                upstreams,
                new OutlierDetector(),
                loadTable,
                null,
                null,
                null,
                null,
                new SuspectTable(PROCESS, suspect -> {}),
                null,
                LimitsInForce.advertisedOnly(new LimitTable()),
                null,
                null,
                null,
                null,
                log,
                new ServingMetrics());
    }

    @BeforeEach
    void startHeartbeats() throws IOException {
        receiver = new DatagramSocket(new InetSocketAddress(InetAddress.getByName(ANY.ip()), 0));
        receiver.setSoTimeout(WAIT_TIMEOUT_MILLIS);
        peers.addAddress(new Address(ANY.ip(), receiver.getLocalPort()));
        RouterIdentity identity = new RouterIdentity(PROCESS, EAST, port.address(), port.address(), 100);
        onLoop(() -> hub.start(identity, port));
    }

    @AfterEach
    void close() {
        hub.close();
        port.close();
        loop.close();
        log.close();
        receiver.close();
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    private void sendLast() {
        try {
            receiver.send(new DatagramPacket(LAST, LAST.length, receiver.getLocalSocketAddress()));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Receives the heartbeats that were sent before the last frame, and returns the latest. */
    private Heartbeat lastHeartbeat() throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MILLIS);
        NewsFrame frame = receive();
        while (frame.getEndedCount() == 0) {
            assertThat(System.nanoTime()).as("time without the last frame").isLessThan(end);
            received.add(frame.getHeartbeat());
            frame = receive();
        }
        return received.get(received.size() - 1);
    }

    private NewsFrame receive() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
        receiver.receive(packet);
        return NewsFrame.parseFrom(ByteString.copyFrom(packet.getData(), 0, packet.getLength()));
    }

    /** Guards against responses of other routers' requests that are cut by the stop of the router that relays them. */
    @Test
    void endsOnlyOnceTheResponsesThatItRelaysAreComplete() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        relaysInUse = 1;
        onLoop(() -> sequence.begin(nowMillis, () -> done.complete(null)));
        nowMillis += policy.timeline().durationMillis() / 2;
        onLoop(sequence::runDueSteps);
        assertThat(done).isNotDone();
        relaysInUse = 0;
        onLoop(sequence::runDueSteps);
        assertThat(done).isDone();
    }

    static Stream<Throwable> failures() {
        return Stream.of(new IllegalStateException("relays are unknown"), new StackOverflowError());
    }

    /** Guards against a router that is killed with answers in flight as its stop went no further after a failure. */
    @ParameterizedTest
    @MethodSource("failures")
    void goesOnWithTheStopAfterOneOfItsChecksFailed(Throwable failure) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        relayFailure = failure;
        loop.execute(() -> sequence.begin(nowMillis, done::countDown));
        onLoop(() -> {});
        relayFailure = null;
        nowMillis = policy.timeline().durationMillis();
        assertThat(done.await(WAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    /** Guards against a router that is killed with answers in flight as each of its checks fails. */
    @ParameterizedTest
    @MethodSource("failures")
    void endsOnceNoTimeIsLeftThoughItsChecksFail(Throwable failure) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        relayFailure = failure;
        loop.execute(() -> sequence.begin(nowMillis, done::countDown));
        onLoop(() -> {});
        nowMillis = policy.timeline().durationMillis();
        assertThat(done.await(WAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void tellsTheOtherRoutersOfAStopAtOnce() throws IOException {
        onLoop(() -> {
            sequence.begin(nowMillis, () -> {});
            sendLast();
        });
        Heartbeat last = lastHeartbeat();
        assertThat(last.getReady()).isFalse();
        assertThat(last.getStopLeftMillis()).isEqualTo(policy.timeline().durationMillis());
    }

    /** Otherwise callers would be sent to it until its silence is noticed. */
    @Test
    void tellsTheOtherRoutersThatItHasEndedThoughItHadTimeLeft() throws IOException {
        onLoop(() -> sequence.begin(nowMillis, this::sendLast));
        nowMillis = lifetime.longestMillis();
        Heartbeat last = lastHeartbeat();
        assertThat(last.getReady()).isFalse();
        assertThat(policy.timeline().leftMillis(nowMillis)).isPositive();
        assertThat(last.getStopLeftMillis()).isZero();
    }

    /** Otherwise callers of its data centre would find nobody to ask where the ready routers are. */
    @Test
    void endsOnlyOnceAnotherRouterOfItsDataCentreIsBack() throws IOException {
        last = true;
        CompletableFuture<Void> ended = new CompletableFuture<>();
        onLoop(() -> sequence.begin(nowMillis, () -> {
            sendLast();
            ended.complete(null);
        }));
        nowMillis = lifetime.longestMillis();
        for (int check = 0; check < 3; check++) {
            onLoop(sequence::runDueSteps);
        }
        assertThat(ended).isNotDone();
        last = false;
        assertThat(lastHeartbeat().getStopLeftMillis()).isZero();
    }

    @Test
    void ignoresASecondSignal() throws IOException {
        onLoop(() -> sequence.begin(nowMillis, this::sendLast));
        CompletableFuture<Void> second = new CompletableFuture<>();
        onLoop(() -> sequence.begin(nowMillis, () -> second.complete(null)));
        nowMillis = lifetime.longestMillis();
        lastHeartbeat();
        onLoop(() -> {});
        assertThat(second).isNotDone();
    }
}
