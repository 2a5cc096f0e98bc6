package org.apricotstack.bench.measure;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.gossip.GossipHub;
import org.apricotstack.serving.gossip.GossipServer;
import org.apricotstack.serving.gossip.HeartbeatPort;
import org.apricotstack.serving.gossip.RouterIdentity;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import reactor.core.publisher.Mono;

/** The part of a router that exchanges news, without callers, upstreams and a platform. */
final class NewsRouter implements AutoCloseable {

    private static final Address ANY = new Address("127.0.0.1", 0);

    /** Usual length of a short prompt and of its reading, as the users' sheets give them. */
    private static final long PROMPT_TOKENS = 5_000;

    private static final double READ_MILLIS = 30;

    private static final long LIMIT_MILLIS = 10_000;
    private static final long TARGET_MILLIS = 300;
    private static final long PAUSE_MILLIS = 250;

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final EngineLoadTable board = new EngineLoadTable();
    private final PeerTable peers = new PeerTable();
    private final DecisionLog log;
    private final GossipHub hub;
    private final GossipServer server;
    private final HeartbeatPort heartbeats;
    private final RouterIdentity identity;
    private final SuspectTable suspects;
    private final LimitTable limits = new LimitTable();
    private final DrainTable drains;
    private long placements;

    /** Starts a router that knows some others. */
    NewsRouter(int number, List<Address> seeds, int capacityPercent) {
        log = new DecisionLog("host-" + number, System::currentTimeMillis);
        OutlierDetector judge = new OutlierDetector();
        UpstreamTable upstreams = new UpstreamTable();
        drains = upstreams.drains();
        PublishedState state = new PublishedState(null, upstreams, judge, board, log);
        ProcessId process = new ProcessId(new HostId("host-" + number), 1);
        suspects = new SuspectTable(process, found -> {});
        hub = new GossipHub(
                loop,
                peers,
                board,
                judge,
                suspects,
                limits,
                drains,
                process.host(),
                state,
                log,
                () -> true,
                () -> true,
                () -> {});
        server = new GossipServer(loop, ANY, hub);
        identity = new RouterIdentity(
                process, new DataCentreId("dc"), ANY, new Address(ANY.ip(), server.port()), capacityPercent);
        heartbeats = new HeartbeatPort(loop, identity.peerAddress());
        loop.execute(() -> {
            seeds.forEach(peers::addAddress);
            hub.start(identity, heartbeats);
        });
    }

    /** Returns where others reach it. */
    Address address() {
        return identity.peerAddress();
    }

    /** Returns what the hub knows, read on its thread. */
    <T> T read(Function<GossipHub, T> question) {
        return Mono.<T>create(sink -> loop.execute(() -> sink.success(question.apply(hub))))
                .block();
    }

    /** Tells of a whole request: its placement, its first event, and its end, each in a frame of its own. */
    void tellRequest() {
        EnginePlacement placement = tellPlacement();
        loop.schedule(1, () -> hub.decodeStarted(placement));
        loop.schedule(2, () -> hub.ended(placement));
    }

    /** Tells of a placement that does not end. */
    EnginePlacement tellPlacement() {
        PlacementId id = new PlacementId(identity.process(), ++placements);
        EnginePlacement placement = new EnginePlacement(
                id,
                List.of(new EnginePart(new UpstreamId("i-0123456789"), READ_MILLIS, PROMPT_TOKENS)),
                PROMPT_TOKENS,
                TARGET_MILLIS,
                PAUSE_MILLIS);
        loop.execute(() -> hub.placed(placement, LIMIT_MILLIS));
        return placement;
    }

    /** Sets what takes each request of which another router tells. */
    void whenHeardOfEnd(Consumer<RequestDigest> action) {
        loop.execute(() -> hub.suspects().onCrashReported(action));
    }

    /** Tells that an upstream ended while a request was in flight there; to all if it is told to be the cause. */
    void tellEnd(RequestDigest request, UpstreamId upstream, boolean toAll) {
        loop.execute(() -> {
            long now = loop.nowMillis();
            suspects.upstreamCrashed(request, new ObservedCrash(upstream, false, now), identity.process(), now);
            hub.suspects().upstreamCrashed(upstream, List.of(request), List.of(), toAll);
            if (toAll) {
                hub.suspects().broadcast(suspects.find(request, now));
            }
        });
    }

    /** Does something once this router knows the limit of an upstream; looks every millisecond. */
    void whenLimited(UpstreamId upstream, Runnable then) {
        loop.execute(() -> {
            if (limits.find(upstream) == null) {
                loop.schedule(1, () -> whenLimited(upstream, then));
            } else {
                then.run();
            }
        });
    }

    /** Tells that an upstream named a limit. */
    void tellLimit(UpstreamId upstream, double perSecond) {
        loop.execute(() -> {
            RateLimit limit = new RateLimit(perSecond, loop.nowMillis());
            limits.reportedByPeer(upstream, limit);
            hub.limits().limitChanged(upstream, LimitChange.BEGAN, limit);
        });
    }

    /** Does something once this router knows that an upstream leaves; looks every millisecond. */
    void whenDraining(UpstreamId upstream, Runnable then) {
        loop.execute(() -> {
            if (drains.isDraining(upstream)) {
                then.run();
            } else {
                loop.schedule(1, () -> whenDraining(upstream, then));
            }
        });
    }

    /** Tells that an upstream announced that it leaves. */
    void tellDrain(UpstreamId upstream) {
        loop.execute(() -> {
            drains.answerReceived(upstream, AdvertisedDrain.DRAINING, loop.nowMillis(), loop.nowMillis());
            hub.drainChanged(upstream);
        });
    }

    @Override
    public void close() {
        hub.close();
        server.close();
        heartbeats.close();
        loop.close();
        log.close();
    }
}
