package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublicationFollower;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Routers in virtual time that learn of configurations from a platform and from each other. */
final class VirtualFleet implements AutoCloseable {

    /** One way between two routers, in milliseconds. */
    private static final long LATENCY_MILLIS = 1;

    /** Interval between two checks for expired state, in milliseconds, as in a router process. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    private static final int DATA_CENTRES = 3;
    private static final int SEEDS = 3;
    private static final int PORT = 1;
    private static final int CAPACITY_PERCENT = 75;

    private final VirtualLinks links = new VirtualLinks();
    private final VirtualPlatform platform = new VirtualPlatform(links);
    private final List<Router> routers = new ArrayList<>();
    private final Map<Address, Router> byAddress = new HashMap<>();
    private final Set<Router> stopped = new HashSet<>();
    private final UniformRandomProvider random;
    private final DecisionLog log = new DecisionLog("fleet", () -> 0);
    private double lossProbability;
    private int messagesToLose;
    private long nowMillis;
    private long datagrams;
    private double routerMegabitsPerSecond;
    private long incarnations;

    /** Starts routers in three data centres. */
    VirtualFleet(int size, long seed) {
        random = new SplitMix64(seed);
        for (int i = 0; i < size; i++) {
            Router router = new Router(i);
            routers.add(router);
            byAddress.put(router.identity.peerAddress(), router);
        }
        routers.forEach(Router::start);
    }

    VirtualPlatform platform() {
        return platform;
    }

    List<Router> routers() {
        return routers;
    }

    /** Returns the routers that read the platform for their data centres. */
    List<Router> readers() {
        return routers.stream().filter(router -> router.follower.isFollowing()).toList();
    }

    /** Loses a share of all datagrams and of all fetches. */
    void lose(double probability) {
        lossProbability = probability;
    }

    /** Loses the next datagrams and fetches. */
    void loseNext(int messages) {
        messagesToLose = messages;
    }

    /** Returns the number of checks of all routers. */
    long checks() {
        return routers.stream().mapToLong(router -> router.follower.checks()).sum();
    }

    /** Freezes or kills routers: they do nothing, and what is sent to them waits. */
    void stop(List<Router> lost) {
        stopped.addAll(lost);
    }

    /** Lets frozen routers run again, which then notice their stall. */
    void resume(List<Router> frozen) {
        frozen.forEach(stopped::remove);
        frozen.forEach(router -> router.loop.execute(router.follower::resync));
    }

    /** Limits the links of all routers, and the one of the platform. */
    void limitLinks(double megabitsPerSecond, double platformMegabitsPerSecond) {
        routerMegabitsPerSecond = megabitsPerSecond;
        links.limit(platform, platformMegabitsPerSecond);
        routers.forEach(router -> links.limit(router, megabitsPerSecond));
    }

    /** Kills all routers at once, and starts new processes on the same hosts. */
    void restartAll() {
        int size = routers.size();
        routers.forEach(links::remove);
        routers.clear();
        byAddress.clear();
        stopped.clear();
        for (int i = 0; i < size; i++) {
            Router router = new Router(i);
            router.time.advanceTo(nowMillis);
            routers.add(router);
            byAddress.put(router.identity.peerAddress(), router);
            if (routerMegabitsPerSecond > 0) {
                links.limit(router, routerMegabitsPerSecond);
            }
        }
        routers.forEach(Router::start);
    }

    /** Returns the share of routers that can serve. */
    double ready() {
        return (double) routers.stream()
                        .filter(router -> router.state.complete())
                        .count()
                / routers.size();
    }

    long datagrams() {
        return datagrams;
    }

    long nowMillis() {
        return nowMillis;
    }

    void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            nowMillis++;
            links.advance();
            for (Router router : routers) {
                if (!stopped.contains(router)) {
                    router.time.advanceTo(nowMillis);
                }
            }
        }
    }

    /** Returns after how many milliseconds the last running router has a version in force. */
    long millisUntilInForce(long version, long limitMillis) {
        long startMillis = nowMillis;
        while (nowMillis - startMillis < limitMillis) {
            if (routers.stream()
                    .filter(router -> !stopped.contains(router))
                    .allMatch(router -> router.state.configurationVersion() >= version)) {
                break;
            }
            advance(1);
        }
        return nowMillis - startMillis;
    }

    private boolean isLost() {
        if (messagesToLose > 0) {
            messagesToLose--;
            return true;
        }
        return lossProbability > 0 && random.nextDouble() < lossProbability;
    }

    @Override
    public void close() {
        log.close();
    }

    /** One router, wired as in a router process, without callers. */
    final class Router {

        private final VirtualTime time = new VirtualTime();
        private final RouterIdentity identity;
        private final PeerTable peers = new PeerTable();
        private final PublishedState state;
        private final PublicationFollower follower;
        private final GossipHub hub;
        private final ServingLoop loop = time.loop();
        private final LargeReplies largeReplies = new LargeReplies();
        private BiConsumer<NewsFrame, Address> onDatagram = (frame, sender) -> {};

        Router(int index) {
            DataCentreId dataCentre = new DataCentreId(String.valueOf((char) ('a' + index % DATA_CENTRES)));
            Address address =
                    new Address("10." + index % DATA_CENTRES + "." + index / 200 + "." + (1 + index % 200), PORT);
            identity = new RouterIdentity(
                    new ProcessId(new HostId("router-" + index), ++incarnations),
                    dataCentre,
                    address,
                    address,
                    CAPACITY_PERCENT);
            OutlierDetector outliers = new OutlierDetector();
            EngineLoadTable loads = new EngineLoadTable();
            UpstreamTable upstreams = new UpstreamTable();
            state = new PublishedState(new VirtualPlatform.VersionDecoder(), upstreams, outliers, loads, log);
            follower = new PublicationFollower(
                    loop, platform.source(this, loop), state, log, new SplitMix64(random.nextLong()));
            hub = new GossipHub(
                    loop,
                    peers,
                    loads,
                    outliers,
                    new SuspectTable(identity.process(), suspect -> {}),
                    LimitsInForce.advertisedOnly(new LimitTable()),
                    new DrainTable(),
                    identity.process().host(),
                    state,
                    log,
                    state::complete,
                    follower::isFollowing,
                    follower::restartIfSilent);
        }

        void start() {
            for (int i = 0; i < Math.min(SEEDS, routers.size()); i++) {
                peers.addAddress(routers.get(i).identity.peerAddress());
            }
            follower.start(hub);
            hub.start(
                    identity,
                    new VirtualPort(this),
                    (peer, handler, fullState, onClosed) -> new VirtualStream(this, peer, handler));
            loop.scheduleWithFixedDelay(SWEEP_INTERVAL_MILLIS, () -> {
                follower.resumeIfNeeded();
                hub.reportPlatformChanges();
            });
        }

        int upstreamsListed() {
            return state.upstreamsListed();
        }

        long configurationVersion() {
            return state.configurationVersion();
        }
    }

    /** Delivers a task to a router after the latency of the network; a stopped router gets it once it runs again. */
    private void deliver(Router from, Router to, Runnable task) {
        from.loop.schedule(LATENCY_MILLIS, () -> to.loop.execute(task));
    }

    /** Datagrams of one router. */
    private final class VirtualPort implements DatagramPort {

        private final Router own;

        VirtualPort(Router own) {
            this.own = own;
        }

        @Override
        public void onFrame(BiConsumer<NewsFrame, Address> listener) {
            own.onDatagram = listener;
        }

        @Override
        public void send(Address address, EncodedFrame frame) {
            datagrams++;
            Router to = byAddress.get(address);
            if (to == null || isLost()) {
                return;
            }
            NewsFrame decoded = decode(frame);
            deliver(own, to, () -> to.onDatagram.accept(decoded, own.identity.peerAddress()));
        }
    }

    /** A stream to one router that is always open; a fetch may be lost. */
    private final class VirtualStream implements GossipStream {

        private final Router own;
        private final Router peer;
        private final GossipHandler handler;
        private final InboundGossipStream inbound = new InboundGossipStream();

        VirtualStream(Router own, Address address, GossipHandler handler) {
            this.own = own;
            this.peer = byAddress.get(address);
            this.handler = handler;
        }

        @Override
        public void heartbeat(EncodedFrame frame, long nextMillis) {
            send(frame);
        }

        @Override
        public boolean send(EncodedFrame frame) {
            NewsFrame decoded = decode(frame);
            deliver(own, peer, () -> peer.hub.frame(decoded, inbound));
            return true;
        }

        @Override
        public void markOutOfSync() {
            // Placements are not exchanged here.
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean fetch(EncodedFrame heartbeat, NewsFrame request) {
            send(heartbeat);
            if (!isLost()) {
                deliver(own, peer, () -> {
                    NewsReply reply = peer.hub.documents(request.getDocuments());
                    int bytes = reply.getSerializedSize();
                    long begunMillis = nowMillis;
                    if (peer.largeReplies.begin(bytes, begunMillis)) {
                        links.transfer(peer, own, this, bytes, () -> replied(reply, bytes, begunMillis));
                    }
                });
            }
            return true;
        }

        private void replied(NewsReply reply, int bytes, long begunMillis) {
            peer.largeReplies.end(bytes, begunMillis);
            deliver(
                    peer,
                    own,
                    () -> handler.reply(reply, peer.identity.peerAddress().toString()));
        }

        @Override
        public boolean isReceiving() {
            return links.isReceiving(this);
        }

        @Override
        public void close() {
            // Nothing is kept open.
        }
    }

    private static NewsFrame decode(EncodedFrame frame) {
        try {
            return NewsFrame.parseFrom(frame.buffer().nioBuffer());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }
}
