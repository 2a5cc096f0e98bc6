package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.RequestRate;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedTrait;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.serving.run.CrashReport;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Reports of requests under which upstreams crash, and the traffic that they cause. */
class SuspectChannelTest {

    private static final Address ANY = new Address("127.0.0.1", 0);
    private static final ProcessId OWN = new ProcessId(new HostId("own"), 1);
    private static final ProcessId PEER = new ProcessId(new HostId("peer"), 1);
    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 7);
    private static final PromptPart PART = new PromptPart(new ServiceId("engines"), new PromptPartId(5));
    private static final int MANY_PARTS = 300;
    private static final RequestDigest REQUEST = new RequestDigest(1, 2);

    /** Number of other active routers, as in a fleet of 95 of which a quarter are active. */
    private static final int RECEIVERS = 25;

    /** Bytes a second that control traffic may cost a host. */
    private static final long CONTROL_BYTES_PER_SECOND = 2_000;

    private static final long ATTACK_MILLIS = 600_000;

    /** Time between two requests of an attacker, in milliseconds: 10,000 a minute. */
    private static final long ATTACK_INTERVAL_MILLIS = 6;

    private long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("own", () -> 0);
    private final SuspectTable table = new SuspectTable(OWN, suspect -> {});
    private final HeartbeatPort port = new HeartbeatPort(loop, ANY);
    private NewsFrame.Builder reported = NewsFrame.newBuilder();
    private final SuspectChannel channel = new SuspectChannel(loop, table, log, () -> reported, () -> RECEIVERS);

    @BeforeEach
    void connect() {
        PeerTable peers = new PeerTable();
        OutboundGossipStreams streams = new OutboundGossipStreams(loop, peers, NewsFrame::getDefaultInstance);
        PublishedState state =
                new PublishedState(null, new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
        RouterIdentity identity = new RouterIdentity(OWN, new DataCentreId("east"), port.address(), port.address(), 1);
        OwnHeartbeat own = new OwnHeartbeat(loop, identity, peers, state, () -> true, new RequestRate(0), () -> true);
        channel.sendThrough(new HeartbeatSender(
                new UnusedHandler(),
                own,
                peers,
                streams,
                port,
                new StartPhase(0),
                port.address(),
                () -> 1_000,
                () -> false));
    }

    @AfterEach
    void stop() {
        port.close();
        loop.close();
        log.close();
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

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    private long takeReported() {
        long bytes = (long) reported.build().getSerializedSize() * RECEIVERS;
        reported = NewsFrame.newBuilder();
        return bytes;
    }

    @Test
    void reportsCrashesToAnotherRouter() {
        onLoop(() -> channel.upstreamCrashed(
                new CrashReport(UPSTREAM, List.of(REQUEST), List.of(new RequestDigest(3, 4)), List.of()), false));
        onLoop(() -> channel.receive(reported.build(), PEER));
        assertThat(table.find(REQUEST, 0).crashes())
                .singleElement()
                .satisfies(crash -> assertThat(crash.upstream()).isEqualTo(UPSTREAM))
                .satisfies(crash -> assertThat(crash.answerStarted()).isFalse());
        assertThat(table.find(new RequestDigest(3, 4), 0).crashes().get(0).answerStarted())
                .isTrue();
        assertThat(channel.received()).isEqualTo(2);
    }

    @Test
    void reportsPromptPartsWithTheirTrialsAndWhatServedThem() {
        onLoop(() -> channel.upstreamCrashed(new CrashReport(UPSTREAM, List.of(), List.of(), List.of(PART)), false));
        onLoop(() -> channel.receive(reported.build(), PEER));
        assertThat(table.find(PART, 0).crashes())
                .extracting(SuspectedTrait.ReportedCrash::upstream)
                .containsExactly(UPSTREAM);
        NewsFrame.Builder all = NewsFrame.newBuilder();
        onLoop(() -> channel.addAll(all));
        assertThat(all.getUpstreamEnded(0).getPartsList())
                .containsExactly(PART.id().value());
        takeReported();
        onLoop(() -> channel.trialStarted(PART, UPSTREAM, 1_000));
        onLoop(() -> channel.trialEnded(PART));
        assertThat(SuspectMessages.trait(reported.getTrials(0))).isEqualTo(PART);
        assertThat(SuspectMessages.part(reported.getPartTrialsEnded(0))).isEqualTo(PART);
        onLoop(() -> channel.served(PART));
        onLoop(() -> channel.receive(reported.build(), PEER));
        assertThat(table.find(PART, 0)).isNull();
    }

    /** Guards against losing the report of the part that crashes upstreams among hundreds of others in flight. */
    @Test
    void reportsThePartsWithTheMostCrashesIfThereAreTooMany() {
        table.upstreamCrashed(PART, new ObservedCrash(new UpstreamId("earlier"), false, 0), PEER, 0);
        List<PromptPart> parts = new ArrayList<>();
        for (int i = 0; i < MANY_PARTS; i++) {
            parts.add(new PromptPart(PART.service(), new PromptPartId(1_000 + i)));
        }
        parts.add(PART);
        onLoop(() -> channel.upstreamCrashed(new CrashReport(UPSTREAM, List.of(), List.of(), parts), true));
        assertThat(reported.getUpstreamEnded(0).getPartsList())
                .contains(PART.id().value())
                .hasSizeLessThan(MANY_PARTS);
        assertThat(channel.partsDropped())
                .isEqualTo(parts.size() - reported.getUpstreamEnded(0).getPartsCount());
    }

    @Test
    void reportsTheAgeOfACrashToARouterThatMissedIt() {
        onLoop(() -> channel.upstreamCrashed(new CrashReport(UPSTREAM, List.of(REQUEST), List.of(), List.of()), false));
        onLoop(() -> channel.receive(reported.build(), PEER));
        nowMillis = 90_000;
        NewsFrame.Builder all = NewsFrame.newBuilder();
        onLoop(() -> channel.addAll(all));
        assertThat(all.getUpstreamEnded(0).getAgoMillis()).isEqualTo(90_000);
    }

    /**
     * Guards against state updates that exceed their share of the network and delay what matters. An attacker sends
     * 10,000 different requests a minute, each of which crashes an upstream, and each crash was reported to all
     * routers.
     */
    @Test
    void staysWithinTheControlTrafficBudgetUnderManyCrashes() {
        long bytes = 0;
        long crashes = ATTACK_MILLIS / ATTACK_INTERVAL_MILLIS;
        for (int i = 0; i < crashes; i++) {
            nowMillis += ATTACK_INTERVAL_MILLIS;
            RequestDigest request = new RequestDigest(i, i);
            UpstreamId upstream = new UpstreamId("upstream-" + i);
            onLoop(() ->
                    channel.upstreamCrashed(new CrashReport(upstream, List.of(request), List.of(), List.of()), false));
            onLoop(() -> channel.trialStarted(request, upstream, 1_000));
            onLoop(() -> channel.trialEnded(request));
            bytes += takeReported();
        }
        assertThat(bytes).isLessThan(CONTROL_BYTES_PER_SECOND * ATTACK_MILLIS / 1_000);
        assertThat(channel.dropped()).isGreaterThan(2 * crashes);
        onLoop(() -> channel.upstreamCrashed(new CrashReport(UPSTREAM, List.of(REQUEST), List.of(), List.of()), true));
        assertThat(reported.getUpstreamEndedCount())
                .as("a repeated end has an allowance of its own")
                .isEqualTo(1);
    }
}
