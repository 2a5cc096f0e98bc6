package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.NewsFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class GossipHubTest {

    private static final ProcessId PEER = new ProcessId(new HostId("peer"), 1);
    private static final long LISTED_INCARNATION = 200;

    private Throwable clockFailure;
    private final ServingLoop loop = new ServingLoop(this::nanos);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final PublishedState state = new PublishedState(null, upstreams, outlierDetector, loadTable, log);
    private final GossipHub hub = new GossipHub(
            loop,
            new PeerTable(),
            loadTable,
            outlierDetector,
            new SuspectTable(PEER, suspect -> {}),
            LimitsInForce.advertisedOnly(new LimitTable()),
            new DrainTable(),
            new HostId("own"),
            state,
            log,
            () -> true,
            () -> true,
            () -> {});

    @BeforeEach
    void listTheEngine() {
        upstreams.put(new UpstreamEntry(
                incarnation(LISTED_INCARNATION),
                new ServiceId("service"),
                new Address("127.0.0.1", 1),
                new DataCentreId("east"),
                4,
                false,
                1));
    }

    @AfterEach
    void stop() {
        hub.close();
        loop.close();
        log.close();
    }

    /** Returns the time, or throws once what the test sets. */
    private long nanos() {
        Throwable failure = clockFailure;
        clockFailure = null;
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure != null) {
            throw (RuntimeException) failure;
        }
        return 0;
    }

    static Stream<Throwable> failures() {
        return Stream.of(new IllegalStateException("state"), new StackOverflowError());
    }

    /** Guards against the loss of all state updates of a peer whose stream is closed for one that fails here. */
    @ParameterizedTest
    @MethodSource("failures")
    void receivesTheNextStateUpdateAfterOneThatFails(Throwable failure) {
        List<Throwable> reported = new ArrayList<>();
        loop.onTaskFailure(reported::add);
        EnginePart part = new EnginePart(incarnation(LISTED_INCARNATION), 100, 5_000);
        EnginePlacement placement = new EnginePlacement(new PlacementId(PEER, 2), List.of(part), 5_000, 300, 250);
        NewsFrame frame = NewsFrame.newBuilder()
                .setWhole(true)
                .addPlaced(GossipMessages.placed(placement, 10_000))
                .build();
        InboundGossipStream stream = new InboundGossipStream();
        stream.sender(PEER);
        CompletableFuture.runAsync(
                        () -> {
                            clockFailure = failure;
                            hub.frame(frame, stream);
                        },
                        loop.loop())
                .join();
        assertThat(reported).containsExactly(failure);
        receive(frame);
        assertThat(loadTable.size()).isEqualTo(1);
    }

    private static UpstreamId incarnation(long incarnation) {
        return new UpstreamId("engine", incarnation);
    }

    private void receive(NewsFrame frame) {
        InboundGossipStream stream = new InboundGossipStream();
        stream.sender(PEER);
        hub.frame(frame, stream);
        CompletableFuture<Void> taken = new CompletableFuture<>();
        loop.execute(() -> taken.complete(null));
        taken.join();
    }

    @Test
    void dropsPlacementsThatAPeerNoLongerReports() {
        ProcessId other = new ProcessId(new HostId("other"), 1);
        EnginePart part = new EnginePart(incarnation(LISTED_INCARNATION), 100, 5_000);
        loadTable.place(new EnginePlacement(new PlacementId(PEER, 1), List.of(part), 5_000, 300, 250), 0, 10_000);
        loadTable.place(new EnginePlacement(new PlacementId(other, 1), List.of(part), 5_000, 300, 250), 0, 10_000);
        EnginePlacement kept = new EnginePlacement(new PlacementId(PEER, 2), List.of(part), 5_000, 300, 250);
        receive(NewsFrame.newBuilder()
                .setWhole(true)
                .addPlaced(GossipMessages.placed(kept, 10_000))
                .build());
        assertThat(loadTable.size()).isEqualTo(2);
        receive(NewsFrame.newBuilder().setWhole(true).build());
        assertThat(loadTable.size()).isEqualTo(1);
    }

    /**
     * Guards against a restarted engine that is avoided or counted as busy. A peer that does not know of the restart
     * yet reports a placement and a failure; the update named the engine but not its incarnation.
     */
    @ParameterizedTest
    @CsvSource({"100, 0, 0", "200, 1, 0.95", "300, 1, 0.95"})
    void ignoresUpdatesAboutAnEarlierIncarnation(long reported, int leads, double failureProbability) {
        EnginePlacement placement = new EnginePlacement(
                new PlacementId(PEER, 1), List.of(new EnginePart(incarnation(reported), 100, 5_000)), 5_000, 300, 250);
        receive(NewsFrame.newBuilder()
                .addPlaced(GossipMessages.placed(placement, 10_000))
                .addAvoided(GossipMessages.avoided(incarnation(reported), 1_000))
                .build());
        assertThat(loadTable.load(incarnation(reported)).leadCount()).isEqualTo(leads);
        assertThat(outlierDetector.failureProbability(incarnation(reported), 0)).isEqualTo(failureProbability);
        assertThat(loadTable.load(incarnation(LISTED_INCARNATION)).leadCount())
                .isEqualTo(reported == LISTED_INCARNATION ? 1 : 0);
    }
}
