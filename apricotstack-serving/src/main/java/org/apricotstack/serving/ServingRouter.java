package org.apricotstack.serving;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedRequest;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.gossip.GossipHub;
import org.apricotstack.serving.gossip.GossipServer;
import org.apricotstack.serving.gossip.HeartbeatPort;
import org.apricotstack.serving.gossip.RouterIdentity;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.HttpCalls;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.UpstreamConnections;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.apricotstack.serving.publication.PublicationFollower;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.serving.run.RequestDispatcher;
import org.apricotstack.serving.run.RetryBudgets;
import org.apricotstack.serving.run.ServingContext;

/** A router: takes callers, chooses upstreams, follows the platform, and shares news with the other routers. */
public final class ServingRouter implements AutoCloseable {

    /** Time between two looks at times that have passed, in milliseconds. */
    private static final long SWEEP_MILLIS = 250;

    /** Lateness of a sweep from which the process counts as having stood still, in milliseconds. */
    private static final long STOOD_STILL_MILLIS = 1_000;

    /** Share of the process's memory that bodies of requests may take. */
    private static final double BODY_SHARE = 0.1;

    /** Share of the sockets that callers may take. */
    private static final double CALLER_SHARE = 0.6;

    /** Addresses told to one caller, at most. */
    private static final int MOST_ADDRESSES = 64;

    private final ServingLoop loop;
    private final RouterOptions options;
    private final DecisionLog log;
    private final ServingMetrics metrics = new ServingMetrics();
    private final PeerTable peers = new PeerTable();
    private final SuspectTable suspects;
    private final LimitTable limits = new LimitTable();
    private final PublishedState state;
    private final PublicationFollower follower;
    private final UpstreamConnections connections;
    private final GossipHub hub;
    private final RequestDispatcher runs;
    private final CallerServer callers;
    private final StopSequence stop;
    private RouterIdentity identity;
    private GossipServer newsServer;
    private HeartbeatPort heartbeatPort;
    private long sweptMillis;

    /**
     * Creates a router that does nothing yet.
     *
     * @param loop the thread
     * @param options what it is started with
     * @param ports the platform
     * @param log takes decisions
     */
    public ServingRouter(ServingLoop loop, RouterOptions options, RouterPorts ports, DecisionLog log) {
        this.loop = loop;
        this.options = options;
        this.log = log;
        UniformRandomProvider random = random(options.identity().process());
        UpstreamTable upstreams = new UpstreamTable();
        OutlierDetector judge = new OutlierDetector();
        EngineLoadTable board = new EngineLoadTable();
        state = new PublishedState(ports.reader(), upstreams, judge, board, log);
        state.whenEnded(this::upstreamEnded);
        connections = new UpstreamConnections(loop);
        HttpCalls calls = new HttpCalls(loop, connections);
        follower = new PublicationFollower(
                loop, ports.source().apply(calls), state, log, random, this::platformReaders, this::mustReadPlatform);
        suspects = new SuspectTable(options.identity().process(), this::causeFound);
        hub = new GossipHub(
                loop,
                peers,
                board,
                judge,
                suspects,
                limits,
                upstreams.drains(),
                options.identity().process().host(),
                state,
                log,
                this::ready,
                follower::reads,
                follower::restartIfSilent);
        ServingContext context = new ServingContext(
                options.identity().process(),
                options.identity().dataCentre(),
                loop,
                state::configuration,
                upstreams,
                judge,
                board,
                connections,
                ports.upstreams(),
                ports.engines().apply(calls),
                hub,
                suspects,
                hub.suspects(),
                limits,
                hub.limits(),
                new RetryBudgets(
                        options.retryRatio(), options.retryWindowMillis(), options.retrySlack(), hub::knownRouters),
                new ByteBudget((long) (options.memoryBytes() * BODY_SHARE)),
                log,
                metrics);
        runs = new RequestDispatcher(context);
        hub.suspects().onCrashReported(runs::upstreamCrashReported);
        state.whenServingAgain(runs::drainEnded);
        callers = new CallerServer(
                loop, ports.callers(), runs, this::limits, (int) (options.mostSockets() * CALLER_SHARE));
        stop = new StopSequence(loop, options.stopMillis(), callers, runs, hub, log);
        addGauges(board, upstreams);
        metrics.gauge("fields.unknown", ports.unknown()::size);
        metrics.gauge("fields.unknown_met", ports.unknown()::count);
    }

    /** Creates random numbers of this process; the library's factory would load all of its generators first. */
    private static UniformRandomProvider random(ProcessId process) {
        SplitMix64 seeds = new SplitMix64(process.hashCode());
        return new XoRoShiRo128PlusPlus(seeds.nextLong(), seeds.nextLong());
    }

    /** Adds what is read when somebody asks. */
    private void addGauges(EngineLoadTable board, UpstreamTable upstreams) {
        metrics.gauge("requests.open", runs::open);
        metrics.gauge("requests.not_proper", callers::malformedRequests);
        metrics.gauge("engines.placements", board::size);
        metrics.gauge("upstreams.connections_opened", connections::opened);
        metrics.gauge("platform.calls", follower::calls);
        metrics.gauge("platform.faults", follower::faults);
        metrics.gauge("platform.history", follower::history);
        metrics.gauge("platform.histories_begun", follower::histories);
        metrics.gauge("platform.followed", () -> follower.reads() ? 1 : 0);
        metrics.gauge("upstreams.listed", state::upstreamsListed);
        metrics.gauge("configuration.revision", () -> Revisions.inHistory(state.configurationRevision()));
        metrics.gauge("configuration.version", state::configurationVersion);
        metrics.gauge("upstreams.revision", () -> Revisions.inHistory(state.upstreamsRevision()));
        metrics.gauge("documents.rejected", state::rejected);
        metrics.gauge("routers.known", hub::knownRouters);
        metrics.gauge("routers.told_of_placements", hub::placementReceivers);
        metrics.gauge("placements.heard", hub::placementsReceived);
        metrics.gauge("suspects.known", suspects::size);
        metrics.gauge("suspects.causes", suspects::causes);
        metrics.gauge("suspects.dropped", suspects::dropped);
        metrics.gauge("suspects.ends_heard", hub.suspects()::heard);
        metrics.gauge("suspects.news_dropped", hub.suspects()::dropped);
        metrics.gauge("drains.in_force", () -> upstreams.drains().all().size());
        metrics.gauge("limits.in_force", () -> limits.all().size());
        metrics.gauge("limits.kept", hub.limits()::kept);
        metrics.gauge("limits.questions_unanswered", hub.limits()::unanswered);
        metrics.gauge("limits.news_dropped", hub.limits()::dropped);
        metrics.gauge("heartbeats.malformed", () -> heartbeatPort == null ? 0 : heartbeatPort.malformed());
        metrics.gauge("news_streams.malformed", () -> newsServer == null ? 0 : newsServer.malformed());
        metrics.gauge("log.lines_dropped", log::dropped);
    }

    /**
     * Starts everything.
     *
     * @return who the router is, with the ports that it listens on
     */
    public RouterIdentity start() {
        RouterIdentity asked = options.identity();
        newsServer = new GossipServer(loop, asked.peerAddress(), hub);
        identity = new RouterIdentity(
                asked.process(),
                asked.dataCentre(),
                callers.listen(asked.callerAddress()),
                new Address(asked.peerAddress().ip(), newsServer.port()),
                asked.capacityPercent());
        heartbeatPort = new HeartbeatPort(loop, identity.peerAddress());
        options.seeds().forEach(peers::addAddress);
        sweptMillis = loop.nowMillis();
        loop.execute(() -> {
            follower.start();
            hub.start(identity, heartbeatPort);
            loop.scheduleWithFixedDelay(SWEEP_MILLIS, this::sweep);
        });
        return identity;
    }

    /** Returns how many routers follow the platform at the same time. */
    private int platformReaders() {
        return hub.platformReaders();
    }

    /** Tells whether this router has to follow the platform itself. */
    private boolean mustReadPlatform() {
        return hub.mustReadPlatform();
    }

    /** Drops what leads to a start of an upstream that is over. */
    private void upstreamEnded(UpstreamEntry entry) {
        connections.closeIdleTo(entry.address());
        if (state.isOver(entry.id())) {
            runs.upstreamRestarted(entry);
        }
    }

    /** Writes down that a request was found to be the cause of its upstreams' ends. */
    private void causeFound(SuspectedRequest suspicion) {
        log.line("cause_found")
                .put("content", suspicion.request().toString())
                .put("ends", suspicion.crashes().size())
                .put("upstreams", suspicion.upstreams())
                .put("since_millis", loop.nowMillis() - suspicion.sinceMillis())
                .put("refused_millis", SuspectTable.REFUSED_MILLIS)
                .write();
    }

    /** Looks at times that have passed. */
    private void sweep() {
        long now = loop.nowMillis();
        long still = now - sweptMillis - SWEEP_MILLIS;
        sweptMillis = now;
        if (still > STOOD_STILL_MILLIS) {
            log.line("stood_still").put("millis", still).write();
            follower.readAgain();
        }
        follower.look();
        state.removeExpired(now);
        suspects.expire(now);
        runs.expire(!follower.away());
        hub.limits().expire();
        hub.tellNewReadings();
        callers.closeTimedOut();
        connections.closeExpired();
    }

    /** Returns what callers may send now. */
    private CallerLimits limits() {
        ServingConfiguration configuration = state.configuration();
        return configuration == null ? CallerLimits.DEFAULT : configuration.limits();
    }

    /**
     * Tells whether callers are served.
     *
     * @return whether everything needed is known and the router does not stop
     */
    public boolean ready() {
        return state.complete() && !stop.begun();
    }

    /**
     * Returns where callers of a data centre should connect.
     *
     * @param dataCentre their data centre, or {@code null} if they do not say
     * @return addresses of routers that are believed to take callers
     */
    public List<Address> callerAddresses(DataCentreId dataCentre) {
        return peers.callerAddresses(hub.ownPeer(), dataCentre, MOST_ADDRESSES, loop.nowMillis());
    }

    /**
     * Takes in addresses at which other routers may be; called on the loop.
     *
     * @param addresses the addresses
     */
    public void addSeedAddresses(List<Address> addresses) {
        addresses.forEach(peers::addAddress);
    }

    /**
     * Returns the metrics.
     *
     * @return counters, gauges and histograms
     */
    public ServingMetrics metrics() {
        return metrics;
    }

    /**
     * Stops without losing requests; further calls change nothing.
     *
     * @param whenDone called once nothing is left to do
     */
    public void stop(Runnable whenDone) {
        loop.execute(() -> stop.begin(whenDone));
    }

    @Override
    public void close() {
        callers.close();
        hub.close();
        if (newsServer != null) {
            newsServer.close();
            heartbeatPort.close();
        }
        loop.close();
    }
}
