package org.apricotstack.serving.gossip;

import java.util.List;
import java.util.concurrent.CompletableFuture;

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

import static org.assertj.core.api.Assertions.assertThat;

class GossipHubTest {

    private static final ProcessId PEER = new ProcessId(new HostId("peer"), 1);
    private static final long LISTED_START = 200;

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final OutlierDetector judge = new OutlierDetector();
    private final EngineLoadTable board = new EngineLoadTable();
    private final PublishedState state = new PublishedState(null, upstreams, judge, board, log);
    private final GossipHub hub = new GossipHub(
            loop,
            new PeerTable(),
            board,
            judge,
            new SuspectTable(PEER, found -> {}),
            new LimitTable(),
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
                start(LISTED_START),
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

    private static UpstreamId start(long incarnation) {
        return new UpstreamId("engine", incarnation);
    }

    private void take(NewsFrame frame) {
        InboundGossipStream stream = new InboundGossipStream();
        stream.sender(PEER);
        hub.frame(frame, stream);
        CompletableFuture<Void> taken = new CompletableFuture<>();
        loop.execute(() -> taken.complete(null));
        taken.join();
    }

    @Test
    void forgetsPlacementsOfWhichAPeerNoLongerTells() {
        ProcessId other = new ProcessId(new HostId("other"), 1);
        EnginePart part = new EnginePart(start(LISTED_START), 100, 5_000);
        board.place(new EnginePlacement(new PlacementId(PEER, 1), List.of(part), 5_000, 300, 250), 0, 10_000);
        board.place(new EnginePlacement(new PlacementId(other, 1), List.of(part), 5_000, 300, 250), 0, 10_000);
        EnginePlacement kept = new EnginePlacement(new PlacementId(PEER, 2), List.of(part), 5_000, 300, 250);
        take(NewsFrame.newBuilder()
                .setWhole(true)
                .addPlaced(GossipMessages.placed(kept, 10_000))
                .build());
        assertThat(board.size()).isEqualTo(2);
        take(NewsFrame.newBuilder().setWhole(true).build());
        assertThat(board.size()).isEqualTo(1);
    }

    /**
     * Symptom: an engine that has just started again is avoided, or counts as busy. Sequence: it starts again; a peer
     * that does not know yet tells of a prompt that it placed there and of a failure. Cause: news named the engine but
     * not which of its starts was meant.
     */
    @ParameterizedTest
    @CsvSource({"100, 0, 0", "200, 1, 0.95", "300, 1, 0.95"})
    void takesNoNewsOfAnEarlierStart(long told, int leads, double failureProbability) {
        EnginePlacement placement = new EnginePlacement(
                new PlacementId(PEER, 1), List.of(new EnginePart(start(told), 100, 5_000)), 5_000, 300, 250);
        take(NewsFrame.newBuilder()
                .addPlaced(GossipMessages.placed(placement, 10_000))
                .addAvoided(GossipMessages.avoided(start(told), 1_000))
                .build());
        assertThat(board.load(start(told)).leadCount()).isEqualTo(leads);
        assertThat(judge.failureProbability(start(told), 0)).isEqualTo(failureProbability);
        assertThat(board.load(start(LISTED_START)).leadCount()).isEqualTo(told == LISTED_START ? 1 : 0);
    }
}
