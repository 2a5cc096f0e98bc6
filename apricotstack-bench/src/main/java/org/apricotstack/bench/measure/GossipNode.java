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
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
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
import org.apricotstack.serving.relay.RelayServer;
import org.apricotstack.serving.run.CrashReport;
import reactor.core.publisher.Mono;

/** The gossip component of a router, without callers, upstreams and a platform. */
final class GossipNode implements AutoCloseable {

    private static final Address ANY_PORT = new Address("127.0.0.1", 0);

    private static final int MAX_CONNECTIONS = 1_000;

    /** Typical length and prefill time of a short prompt. */
    private static final long PROMPT_TOKENS = 5_000;

    private static final double PREFILL_MILLIS = 30;

    private static final long LIMIT_MILLIS = 10_000;
    private static final long TARGET_MILLIS = 300;
    private static final long TOKEN_GAP_MILLIS = 250;

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final EngineLoadTable loadTable = new EngineLoadTable();
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

    /** Starts a router with seed peers. */
    GossipNode(int number, List<Address> seeds, int capacityPercent) {
        log = new DecisionLog("host-" + number, System::currentTimeMillis);
        OutlierDetector outlierDetector = new OutlierDetector();
        UpstreamTable upstreams = new UpstreamTable();
        drains = upstreams.drains();
        PublishedState state = new PublishedState(null, upstreams, outlierDetector, loadTable, log);
        ProcessId process = new ProcessId(new HostId("host-" + number), 1);
        suspects = new SuspectTable(process, found -> {});
        hub = new GossipHub(
                loop,
                peers,
                loadTable,
                outlierDetector,
                suspects,
                LimitsInForce.advertisedOnly(limits),
                drains,
                process.host(),
                state,
                log,
                () -> true,
                () -> true,
                () -> {});
        server = new GossipServer(loop, ANY_PORT, hub, RelayServer.none(loop), MAX_CONNECTIONS, cause -> {});
        identity = new RouterIdentity(
                process, new DataCentreId("dc"), ANY_PORT, new Address(ANY_PORT.ip(), server.port()), capacityPercent);
        heartbeats = new HeartbeatPort(loop, identity.peerAddress());
        loop.execute(() -> {
            seeds.forEach(peers::addAddress);
            hub.start(identity, heartbeats);
        });
    }

    /** Returns the address for other routers. */
    Address address() {
        return identity.peerAddress();
    }

    /** Evaluates a query of the hub on its thread. */
    <T> T read(Function<GossipHub, T> query) {
        return Mono.<T>create(sink -> loop.execute(() -> sink.success(query.apply(hub))))
                .block();
    }

    /** Announces a complete request: its placement, first event and end, in three separate frames. */
    void announceRequest() {
        EnginePlacement placement = announcePlacement();
        loop.schedule(1, () -> hub.decodeStarted(placement));
        loop.schedule(2, () -> hub.placementEnded(placement));
    }

    /** Announces a placement that does not end. */
    EnginePlacement announcePlacement() {
        PlacementId id = new PlacementId(identity.process(), ++placements);
        EnginePlacement placement = new EnginePlacement(
                id,
                List.of(new EnginePart(new UpstreamId("i-0123456789"), PREFILL_MILLIS, PROMPT_TOKENS)),
                PROMPT_TOKENS,
                TARGET_MILLIS,
                TOKEN_GAP_MILLIS);
        loop.execute(() -> hub.placementStarted(placement, LIMIT_MILLIS));
        return placement;
    }

    /** Sets the callback for requests under which other routers reported a crash. */
    void onCrashReported(Consumer<RequestTrait> action) {
        loop.execute(() -> hub.suspects().onCrashReported(action));
    }

    /**
     * Announces that an upstream crashed while it ran a request; to all routers if the request is reported as the
     * cause.
     */
    void announceCrash(RequestDigest request, UpstreamId upstream, boolean toAll) {
        loop.execute(() -> {
            long now = loop.nowMillis();
            suspects.upstreamCrashed(request, new ObservedCrash(upstream, false, now), identity.process(), now);
            hub.suspects().upstreamCrashed(new CrashReport(upstream, List.of(request), List.of(), List.of()), toAll);
            if (toAll) {
                hub.suspects().broadcast(suspects.find(request, now));
            }
        });
    }

    /** Runs an action once this router knows the limit of an upstream; polls every millisecond. */
    void whenLimited(UpstreamId upstream, Runnable action) {
        loop.execute(() -> {
            if (limits.find(upstream) == null) {
                loop.schedule(1, () -> whenLimited(upstream, action));
            } else {
                action.run();
            }
        });
    }

    /** Announces a rate limit of an upstream. */
    void announceLimit(UpstreamId upstream, double perSecond) {
        loop.execute(() -> {
            RateLimit limit = new RateLimit(perSecond, loop.nowMillis());
            limits.reportedByPeer(upstream, limit);
            hub.limits().limitChanged(upstream, LimitChange.BEGAN, limit);
        });
    }

    /** Runs an action once this router knows that an upstream is draining; polls every millisecond. */
    void whenDraining(UpstreamId upstream, Runnable action) {
        loop.execute(() -> {
            if (drains.isDraining(upstream)) {
                action.run();
            } else {
                loop.schedule(1, () -> whenDraining(upstream, action));
            }
        });
    }

    /** Announces that an upstream is draining. */
    void announceDrain(UpstreamId upstream) {
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
