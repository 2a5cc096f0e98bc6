package org.apricotstack.serving;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.peer.FleetSize;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.gossip.GossipGauges;
import org.apricotstack.serving.gossip.GossipHub;
import org.apricotstack.serving.gossip.GossipServer;
import org.apricotstack.serving.gossip.HeartbeatPort;
import org.apricotstack.serving.gossip.RouterIdentity;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.ConnectionOpener;
import org.apricotstack.serving.http.HttpCalls;
import org.apricotstack.serving.http.ListeningPort;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.TcpConnectionOpener;
import org.apricotstack.serving.http.UpstreamConnections;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.apricotstack.serving.observe.UnknownFields;
import org.apricotstack.serving.publication.PublicationFollower;
import org.apricotstack.serving.publication.PublicationGauges;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.serving.relay.RouterLinks;
import org.apricotstack.serving.run.ConfiguredColdRates;
import org.apricotstack.serving.run.RequestDispatcher;
import org.apricotstack.serving.run.RetryBudgets;
import org.apricotstack.serving.run.ServingContext;
import org.apricotstack.serving.run.StopGate;

/**
 * A router: serves callers, chooses upstreams, follows the platform, and exchanges state updates with the other
 * routers.
 */
public final class ServingRouter implements AutoCloseable {

    /** Interval between two checks for expired state, in milliseconds. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    /** Share of the process memory for request bodies. */
    private static final double BODY_SHARE = 0.1;

    /** Share of the sockets that connections relayed for other routers may use, each with two. */
    private static final double RELAY_SHARE = 0.1;

    /** Maximum number of addresses in a response to a caller. */
    private static final int MAX_ADDRESSES = 64;

    private final ServingLoop loop;
    private final RouterOptions options;
    private final DecisionLog log;
    private final ServingMetrics metrics = new ServingMetrics();
    private final PeerTable peers = new PeerTable();
    private final FleetSize fleetSize;
    private final SuspectTable suspects;
    private final LimitsInForce limits;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final PublishedState state;
    private final PublicationFollower follower;
    private final RouterLinks links;
    private final RouterAddressGuard guard;
    private final UpstreamConnections connections;
    private final GossipHub hub;
    private final RequestDispatcher runs;
    private final CallerServer callers;
    private final StopPolicy stopPolicy;
    private final ConnectionCloseLog closes;
    private final StopSequence stop;
    private RouterIdentity identity;
    private GossipServer gossipServer;
    private HeartbeatPort heartbeatPort;
    private final StallDetector stalls;
    private final ReadinessLog readiness;

    /**
     * Creates a router that is not started.
     *
     * @param loop the event loop
     * @param options the startup options
     * @param ports the adapters to the platform
     * @param log receives decisions and changes of state
     */
    public ServingRouter(ServingLoop loop, RouterOptions options, RouterPorts ports, DecisionLog log) {
        this(loop, options, ports, log, new TcpConnectionOpener(loop));
    }

    /**
     * Creates a router that is not started, with its own way to open connections.
     *
     * @param loop the event loop
     * @param options the startup options
     * @param ports the adapters to the platform
     * @param log receives decisions and changes of state
     * @param opener opens connections to upstreams and the platform
     */
    public ServingRouter(
            ServingLoop loop, RouterOptions options, RouterPorts ports, DecisionLog log, ConnectionOpener opener) {
        this.loop = loop;
        this.options = options;
        this.log = log;
        this.stalls = new StallDetector(loop.nowMillis());
        this.fleetSize = new FleetSize(peers, loop.nowMillis());
        this.stopPolicy = new StopPolicy(options.stopTimeoutMillis(), options.addressLifetime());
        UniformRandomProvider random = ProcessRandom.of(options.identity().process());
        OutlierDetector outlierDetector = new OutlierDetector();
        EngineLoadTable loadTable = new EngineLoadTable();
        state = new PublishedState(ports.reader(), upstreams, outlierDetector, loadTable, log);
        state.evacuations().follow(options.followsEvacuations());
        limits = ConfiguredColdRates.limits(options.coldBound(), upstreams, state::configuration, loop::nowMillis);
        state.onUpstreamRemoved(this::onUpstreamRemoved);
        links = new RouterLinks(
                loop,
                opener,
                options.identity().dataCentre(),
                peers,
                upstreams,
                outlierDetector,
                (int) (options.maxSockets() * RELAY_SHARE),
                log);
        guard = new RouterAddressGuard(loop, links.opener(), this::isRouter);
        connections = new UpstreamConnections(loop, guard, links.table(), new UpstreamResponseLog(loop, log, metrics));
        HttpCalls calls = new HttpCalls(loop, connections);
        follower = new PublicationFollower(loop, ports.source().apply(calls), state, log, random);
        readiness = new ReadinessLog(state, follower, peers, log, loop.nowMillis());
        suspects = new SuspectTable(options.identity().process(), new CauseLog(loop, log));
        hub = new GossipHub(
                loop,
                peers,
                loadTable,
                outlierDetector,
                suspects,
                limits,
                upstreams.drains(),
                options.identity().process().host(),
                state,
                log,
                new OwnReadiness(this::ready, stopPolicy, loop),
                follower::isFollowing,
                follower::restartIfSilent);
        StopGate stopGate = new StopGate(stopPolicy, () -> peers.others(loop.nowMillis()), loadTable, stalls);
        runs = new RequestDispatcher(context(ports, outlierDetector, loadTable, calls, stopGate));
        closes = new ConnectionCloseLog(loop, stopPolicy.timeline(), log, metrics);
        callers = new CallerServer(
                loop,
                ports.callers(),
                runs,
                this::limits,
                ListeningPort.CALLERS.maxConnections(options.maxSockets()),
                closes);
        stop = new StopSequence(loop, callers, runs, links.server()::drain, hub, stopGate, this::lastOfDataCentre, log);
        addListeners();
        addGauges(loadTable, ports.unknown());
        loop.onTaskFailure(new TaskFailureLog(loop, log, metrics));
    }

    /** Creates what all requests share. */
    private ServingContext context(
            RouterPorts ports,
            OutlierDetector outlierDetector,
            EngineLoadTable loadTable,
            HttpCalls calls,
            StopGate stopGate) {
        return new ServingContext(
                options.identity().process(),
                options.identity().dataCentre(),
                loop,
                state::configuration,
                upstreams,
                outlierDetector,
                loadTable,
                connections,
                ports.upstreams(),
                ports.engines().apply(calls),
                hub,
                suspects,
                hub.suspects(),
                limits,
                hub.limits(),
                new RetryBudgets(options.retryRatio(), options.retryWindowMillis(), this::retrySlackShare),
                new ByteBudget((long) (options.memoryBytes() * BODY_SHARE)),
                stopGate,
                log,
                metrics);
    }

    /** Registers the requests in flight as listeners for news of their upstreams. */
    private void addListeners() {
        hub.suspects().onCrashReported(runs::upstreamCrashReported);
        state.onDrainEnded(runs::drainEnded);
        state.onUpstreamListed(runs::upstreamListed);
        links.onSilentLink(runs::linkSilent);
        state.onConfigurationInForce(closes::configurationInForce);
    }

    /** Registers the gauges. */
    private void addGauges(EngineLoadTable loadTable, UnknownFields unknown) {
        PublicationGauges.register(metrics, follower, state);
        GossipGauges.register(metrics, hub, limits);
        links.register(metrics);
        metrics.gauge("fields.unknown", unknown::size);
        metrics.gauge("fields.unknown_met", unknown::count);
        metrics.gauge("requests.open", runs::open);
        metrics.gauge("requests.not_proper", callers::malformedRequests);
        metrics.gauge("engines.placements", loadTable::size);
        metrics.gauge("upstreams.connections_opened", connections::opened);
        metrics.gauge("upstreams.reuse_suspended", connections::reuseSuspended);
        metrics.gauge("upstreams.connections_to_routers_refused", guard::refused);
        metrics.gauge("retries.slack_share", () -> (long) retrySlackShare());
        metrics.gauge("suspects.known", suspects::size);
        metrics.gauge("suspects.parts", suspects::sharedTraits);
        metrics.gauge("suspects.causes", suspects::causes);
        metrics.gauge("suspects.dropped", suspects::dropped);
        metrics.gauge("drains.in_force", () -> upstreams.drains().all().size());
        metrics.gauge("heartbeats.malformed", () -> heartbeatPort == null ? 0 : heartbeatPort.malformed());
        metrics.gauge("news_streams.malformed", () -> gossipServer == null ? 0 : gossipServer.malformed());
        metrics.gauge("log.lines_dropped", log::dropped);
    }

    /**
     * Starts listening, and following the platform and the other routers.
     *
     * @return identity of the router, with the ports that it listens on
     */
    public RouterIdentity start() {
        RouterIdentity configured = options.identity();
        gossipServer = new GossipServer(
                loop,
                configured.peerAddress(),
                hub,
                links.server(),
                ListeningPort.CONTROL.maxConnections(options.maxSockets()),
                metrics::connectionClosed);
        identity = new RouterIdentity(
                configured.process(),
                configured.dataCentre(),
                callers.listen(configured.callerAddress()),
                new Address(configured.peerAddress().ip(), gossipServer.port()),
                configured.capacityPercent());
        heartbeatPort = new HeartbeatPort(loop, identity.peerAddress());
        addSeedAddresses(options.seeds());
        loop.execute(() -> {
            follower.start(hub);
            hub.start(identity, heartbeatPort);
            loop.scheduleWithFixedDelay(SWEEP_INTERVAL_MILLIS, this::sweep);
            new StallWatch(loop, stalls, metrics, log, follower::resync).start();
        });
        return identity;
    }

    /** Returns the retries in a window that this router may make in addition to the ratio of its requests. */
    private double retrySlackShare() {
        return fleetSize.share(options.retrySlack(), loop.nowMillis());
    }

    /** Returns whether this router or another running one listens at an address. */
    private boolean isRouter(Address address) {
        return address.equals(identity.callerAddress())
                || address.equals(identity.peerAddress())
                || peers.alive(loop.nowMillis()).stream()
                        .anyMatch(peer -> address.equals(peer.callerAddress()) || address.equals(peer.peerAddress()));
    }

    /** Closes connections to an upstream that was removed or restarted, and ends attempts at a restarted one. */
    private void onUpstreamRemoved(UpstreamEntry entry) {
        connections.closeIdleTo(entry.address());
        if (state.isSuperseded(entry.id())) {
            runs.upstreamRestarted(entry);
        }
    }

    /** Returns whether this router is the last one of its data centre that callers can ask for addresses. */
    private boolean lastOfDataCentre() {
        return peers.isLastOfDataCentre(hub.ownPeer(), loop.nowMillis());
    }

    /** Removes expired state; a step that fails does not keep the others from running. */
    private void sweep() {
        long now = loop.nowMillis();
        loop.run(follower::resumeIfNeeded);
        loop.run(() -> state.removeExpired(now));
        loop.run(() -> readiness.update(now));
        loop.run(() -> suspects.expire(now));
        loop.run(() -> runs.expire(!follower.unavailable()));
        loop.run(hub.limits()::expire);
        loop.run(hub::reportPlatformChanges);
        loop.run(callers::closeTimedOut);
        loop.run(gossipServer::closeTimedOut);
        loop.run(connections::closeExpired);
    }

    /**
     * Returns the limits for requests of callers.
     *
     * @return those of the configuration in force
     */
    public CallerLimits limits() {
        ServingConfiguration configuration = state.configuration();
        return configuration == null ? CallerLimits.DEFAULT : configuration.limits();
    }

    /**
     * Returns whether this router can serve callers.
     *
     * @return whether the configuration and upstreams are known and the router is not stopping
     */
    public boolean ready() {
        return state.complete() && !stopPolicy.timeline().stopping();
    }

    /**
     * Returns the addresses to which callers of a data centre should connect.
     *
     * @param dataCentre the callers' data centre, or {@code null} if unknown
     * @return addresses of active routers
     */
    public List<Address> callerAddresses(DataCentreId dataCentre) {
        return peers.callerAddresses(hub.ownPeer(), dataCentre, MAX_ADDRESSES, loop.nowMillis());
    }

    /**
     * Returns whether this router or another one is ready.
     *
     * @return {@code false} while callers can only be sent to stopping routers
     */
    public boolean hasReadyRouter() {
        return ready() || peers.others(loop.nowMillis()).ready();
    }

    /**
     * Returns whether this router or another one is stopping, as far as it is known here.
     *
     * @return whether a stop is in progress
     */
    public boolean knowsOfStop() {
        return stopPolicy.timeline().stopping()
                || peers.others(loop.nowMillis()).longestLeftMillis() > 0;
    }

    /**
     * Adds addresses at which other routers may be reached; called on the event loop.
     *
     * @param addresses the addresses
     */
    public void addSeedAddresses(List<Address> addresses) {
        addresses.forEach(peers::addAddress);
        fleetSize.addSeeds(addresses.stream()
                .filter(address -> !address.equals(identity.peerAddress()))
                .toList());
    }

    /** Records, on the event loop, that the process was signalled to read its settings again. */
    public void settingsReloaded() {
        closes.reloaded();
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
     * Stops without losing requests; further calls have no effect.
     *
     * @param whenDone called once the router has stopped
     */
    public void stop(Runnable whenDone) {
        long handledMillis = loop.nowMillis();
        loop.execute(() -> stop.begin(stalls.earliestMillis(handledMillis), whenDone));
    }

    @Override
    public void close() {
        callers.close();
        hub.close();
        if (gossipServer != null) {
            gossipServer.close();
            heartbeatPort.close();
        }
        loop.close();
    }
}
