package org.apricotstack.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.apricotstack.adapters.admin.AdminServer;
import org.apricotstack.adapters.caller.CallerServer;
import org.apricotstack.adapters.metrics.RouterMetrics;
import org.apricotstack.adapters.peer.GrpcPeerServer;
import org.apricotstack.adapters.platform.HttpPlatformDocuments;
import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.adapters.tls.TlsContexts;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.membership.MemberState;
import org.apricotstack.core.replication.ReplicationTopic;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A router process: everything of the system that runs on one host.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (Router router = new Router(settings, RouterRuntime.system())) {
 *     router.start();
 *     router.ended().block();
 * }
 * }</pre>
 */
public final class Router implements AutoCloseable {

    /** Interval of the checks for expired time limits and silent streams. */
    private static final Duration TICK = Duration.ofMillis(25);

    /** Interval at which expired entries are evicted. */
    private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(5);

    /** Time during which changes are collected before the engines are reconciled. */
    private static final Duration RECONCILE_DEBOUNCE = Duration.ofMillis(200);

    /**
     * Maximum number of routers per round that are probed for whether they serve. 480 replacements a day cost each
     * router as many probes, so four per round are needed only after a start of the whole fleet.
     */
    private static final int MAX_SERVING_PROBES = 4;

    /** Heartbeat interval while no configuration is in force, in milliseconds. */
    private static final long IDLE_HEARTBEAT_MILLIS = 500;

    private final RouterAssembly parts;
    private final RouterEndpoints endpoints;
    private final ByteBudget bodies;
    private final HttpPlatformDocuments platform;
    private final Disposable.Composite work = Disposables.composite();
    private final List<PlatformWatcher> watchers = new ArrayList<>();
    private GrpcPeerServer peerServer;
    private CallerServer callerServer;
    private AdminServer adminServer;

    /**
     * Creates a router, which is inactive until {@link #start()}.
     *
     * @param settings the settings of the router
     * @param runtime clock and timer
     */
    public Router(RouterSettings settings, RouterRuntime runtime) {
        this.parts = new RouterAssembly(settings, runtime);
        this.endpoints = new RouterEndpoints(parts);
        this.bodies = new ByteBudget(settings.bodyMemoryBytes());
        this.platform = new HttpPlatformDocuments(settings.platformAddresses());
    }

    /** Opens the listening sockets and starts the periodic tasks. */
    public void start() {
        RouterSettings settings = parts.settings;
        peerServer = new GrpcPeerServer(
                settings.peerAddress(),
                TlsContexts.peerServer(settings.peerTls()),
                endpoints,
                parts.self,
                parts.runtime.clock());
        callerServer = new CallerServer(
                settings.callerAddress(),
                TlsContexts.callerServer(settings.callerTls()),
                endpoints,
                bodies,
                parts.openRequests);
        adminServer = new AdminServer(
                settings.adminAddress(),
                TlsContexts.callerServer(settings.callerTls()),
                settings.adminKeyDigest(),
                endpoints,
                parts.metrics.registry());
        registerGauges();
        startWatchers();
        startSeeding();
        schedulePeriodically(TICK, parts.owners::tick);
        schedulePeriodically(LimitService.RENEWAL, parts.limits::renew);
        schedulePeriodically(EVICTION_INTERVAL, parts.owners::evictExpired);
        startHeartbeats();
        startProbes();
        startServingProbes();
        startReconciliation();
        Logger.info(
                "event=started process={} caller_port={} peer_port={} admin_port={}",
                parts.self,
                callerPort(),
                peerPort(),
                adminPort());
    }

    /** Registers the gauges. */
    private void registerGauges() {
        RouterMetrics metrics = parts.metrics;
        metrics.gauge(
                "configuration.version",
                () -> parts.replication.replica(ReplicationTopic.CONFIGURATION).version());
        metrics.gauge(
                "roster.version",
                () -> parts.replication.replica(ReplicationTopic.ROSTER).version());
        metrics.gauge("entry.requests.active", parts.entry::active);
        metrics.gauge("entry.body_bytes", bodies::heldBytes);
        metrics.gauge("owner.attempts.active", parts.owners::active);
        metrics.gauge("owner.groups", () -> parts.owners.owners().size());
        metrics.gauge("owner.waiting", () -> parts.owners.owners().values().stream()
                .mapToInt(owner -> owner.status().waiting())
                .sum());
        metrics.gauge(
                "platform.calls",
                () -> watchers.stream().mapToLong(PlatformWatcher::calls).sum());
    }

    /** Starts one platform watcher for each document set. */
    private void startWatchers() {
        Duration wait = Duration.ofMillis(parts.settings.timings().watchMillis());
        Duration maxDelay = Duration.ofMillis(parts.settings.timings().startWaitMillis());
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            PlatformWatcher watcher = new PlatformWatcher(
                    platform,
                    topic,
                    parts.replication,
                    this::shouldWatchPlatform,
                    wait,
                    new PlatformWatcher.Delays(parts.runtime.timer(), ThreadLocalRandom.current()::nextDouble));
            watchers.add(watcher);
            watcher.start(maxDelay);
        }
    }

    /** Returns whether this router currently has to watch the platform. */
    private boolean shouldWatchPlatform() {
        return !parts.replication.isOpen()
                || PlatformWatcher.isWatcher(
                        parts.membership.view(), parts.settings.host(), parts.settings.dataCentre());
    }

    /** Fetches the document sets from the seed peers, and ends the wait for peers when its time has passed. */
    private void startSeeding() {
        Duration wait = Duration.ofMillis(parts.settings.timings().startWaitMillis());
        work.add(Mono.delay(wait, parts.runtime.timer())
                .subscribe(over -> parts.replication.gate().endWait()));
        Duration interval = Duration.ofMillis(parts.settings.timings().probeMillis());
        work.add(Flux.interval(Duration.ZERO, interval, parts.runtime.timer())
                .onBackpressureDrop()
                .takeWhile(tick -> !parts.replication.isOpen())
                .concatMap(tick -> Flux.fromIterable(parts.settings.seedPeers())
                        .flatMap(seed -> IsolatedStep.of("seeding", () -> fetchFromSeed(seed))))
                .subscribe());
    }

    /** Fetches both document sets from a seed peer. A peer that does not serve is ignored. */
    private Mono<Void> fetchFromSeed(Address seed) {
        Duration wait = Duration.ofMillis(parts.settings.timings().probeTimeoutMillis() * 2);
        return parts.peers
                .probeAddress(seed, parts.membership.payload())
                .filter(answer -> !answer.payload().versions().isEmpty())
                .flatMap(answer -> Flux.fromArray(ReplicationTopic.values())
                        .concatMap(topic -> parts.peers
                                .documentsFrom(seed, topic, 0)
                                .doOnNext(delta -> parts.replication.offer(topic, delta)))
                        .then(Mono.fromRunnable(() -> parts.membership.receive(answer))))
                .timeout(wait, parts.runtime.timer())
                .then()
                .onErrorResume(error -> Mono.empty());
    }

    /** Sends heartbeats at the interval that the configuration states. */
    private void startHeartbeats() {
        work.add(Mono.defer(() -> Mono.delay(Duration.ofMillis(heartbeatMillis()), parts.runtime.timer()))
                .doOnNext(tick -> IsolatedStep.run("heartbeats", parts.owners::heartbeat))
                .repeat()
                .subscribe());
    }

    /** Returns the heartbeat interval. */
    private long heartbeatMillis() {
        FleetConfiguration current = parts.replication.configuration();
        return current == null ? IDLE_HEARTBEAT_MILLIS : current.limits().heartbeatMillis();
    }

    /** Probes one neighbour per round. */
    private void startProbes() {
        Duration interval = Duration.ofMillis(parts.settings.timings().probeMillis());
        work.add(Flux.interval(interval, parts.runtime.timer())
                .onBackpressureDrop()
                .concatMap(tick -> IsolatedStep.of("probes", parts.detector::runRound))
                .subscribe());
    }

    /** Probes routers that are not yet known to serve. Only routers that serve are returned to callers. */
    private void startServingProbes() {
        Duration interval = Duration.ofMillis(parts.settings.timings().probeMillis());
        work.add(Flux.interval(interval, parts.runtime.timer())
                .onBackpressureDrop()
                .concatMap(tick -> IsolatedStep.of("serving_probes", this::probeUnconfirmed))
                .subscribe());
    }

    /** Probes some routers that are not yet known to serve. */
    private Mono<Void> probeUnconfirmed() {
        return Flux.fromIterable(parts.membership.unconfirmedHosts(MAX_SERVING_PROBES))
                .flatMap(host -> parts.detector.probe(host).onErrorResume(error -> Mono.empty()))
                .then();
    }

    /**
     * Reconciles the engines of the groups that this router owns according to its own view: soon after a configuration
     * was adopted or a router died or restarted, and otherwise rarely, as each reconciliation uses some of the network
     * budget for control traffic.
     */
    private void startReconciliation() {
        Duration interval = Duration.ofMillis(parts.settings.timings().supervisionMillis());
        Flux<Long> periodic = Flux.interval(interval, parts.runtime.timer());
        Flux<Long> changes = Flux.interval(RECONCILE_DEBOUNCE, parts.runtime.timer())
                .onBackpressureDrop()
                .map(tick -> parts.membership.view().revision() + configurationVersion())
                .distinctUntilChanged();
        work.add(Flux.merge(periodic, changes)
                .onBackpressureLatest()
                .concatMap(tick -> IsolatedStep.of("reconciliation", this::reconcileOnce), 1)
                .subscribe());
    }

    /** Reconciles the engines of owned groups once. */
    private Mono<Void> reconcileOnce() {
        FleetConfiguration current = parts.replication.configuration();
        if (current == null || !parts.replication.isOpen()) {
            return Mono.empty();
        }
        return Flux.fromIterable(current.parts().groups().values())
                .filter(this::isOwned)
                .concatMap(group -> parts.reconciler.reconcile(current, group))
                .then();
    }

    /** Returns whether this router owns a group according to its own view. */
    private boolean isOwned(Group group) {
        return parts.settings.host().equals(parts.ownership.owner(group, parts.membership.view(), Set.of()));
    }

    /** Runs a task periodically. */
    private void schedulePeriodically(Duration interval, Runnable task) {
        work.add(Flux.interval(interval, parts.runtime.timer())
                .onBackpressureDrop()
                // An error would cancel the task permanently. Requests would then exceed their time limits.
                .subscribe(tick -> IsolatedStep.run("task", task)));
    }

    /** Starts a graceful shutdown. */
    public void drain() {
        parts.stop.drain();
    }

    /**
     * Returns the completion of a graceful shutdown.
     *
     * @return completes when no requests or attempts are in progress or expected, or when its time is up
     */
    public Mono<Void> ended() {
        return parts.stop.ended();
    }

    /**
     * Returns this process.
     *
     * @return host and incarnation
     */
    public ProcessId process() {
        return parts.self;
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version; 0 if there is none yet
     */
    public long configurationVersion() {
        return parts.replication.replica(ReplicationTopic.CONFIGURATION).version();
    }

    /**
     * Returns the version of the roster in force.
     *
     * @return the version; 0 if there is none yet
     */
    public long rosterVersion() {
        return parts.replication.replica(ReplicationTopic.ROSTER).version();
    }

    /**
     * Returns whether this router accepts requests.
     *
     * @return whether it serves
     */
    public boolean isServing() {
        return parts.replication.isOpen();
    }

    /**
     * Returns the number of routers on the roster in force.
     *
     * @return the number
     */
    public int knownRouters() {
        return parts.replication.roster().routers().size();
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics
     */
    public RouterMetrics metrics() {
        return parts.metrics;
    }

    /**
     * Returns the port for callers.
     *
     * @return the port
     */
    public int callerPort() {
        return callerServer.port();
    }

    /**
     * Returns the port for peers.
     *
     * @return the port
     */
    public int peerPort() {
        return peerServer.port();
    }

    /**
     * Returns the port for operators.
     *
     * @return the port
     */
    public int adminPort() {
        return adminServer.port();
    }

    /**
     * Announces to the neighbours that this router is dead, and stops at once. Call {@link #drain()} first for a
     * graceful shutdown.
     */
    @Override
    public void close() {
        parts.table.announce(MemberState.DEAD, parts.runtime.clock().millis());
        parts.gossip.broadcast();
        kill();
    }

    /** Stops at once without notifying the neighbours, like a killed process. */
    public void kill() {
        work.dispose();
        watchers.forEach(PlatformWatcher::close);
        if (callerServer != null) {
            callerServer.close();
            adminServer.close();
            peerServer.close();
        }
        parts.peers.close();
        parts.gateway.close();
        platform.close();
    }
}
