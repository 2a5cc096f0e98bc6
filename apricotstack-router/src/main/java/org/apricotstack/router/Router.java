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
 * One router: all of the system that runs on one host.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (Router router = new Router(settings, RouterRuntime.ofMachine())) {
 *     router.start();
 *     router.ended().block();
 * }
 * }</pre>
 */
public final class Router implements AutoCloseable {

    /** Time between looks at time limits and silent streams. */
    private static final Duration TICK = Duration.ofMillis(25);

    /** Time between rounds in which what is old is forgotten. */
    private static final Duration FORGET = Duration.ofSeconds(5);

    /** Time in which reasons to look after engines at once are gathered. */
    private static final Duration CARE_GATHER = Duration.ofMillis(200);

    /**
     * Routers asked in one round whether they serve. 480 replacements a day cost each router as many questions, so four
     * a round are needed only after a start of the whole fleet.
     */
    private static final int SERVING_QUESTIONS = 4;

    /** Heartbeats are sent this often while no configuration is in force, in milliseconds. */
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
     * Builds a router; it listens and works only after {@link #start()}.
     *
     * @param settings its settings
     * @param runtime clock and timer
     */
    public Router(RouterSettings settings, RouterRuntime runtime) {
        this.parts = new RouterAssembly(settings, runtime);
        this.endpoints = new RouterEndpoints(parts);
        this.bodies = new ByteBudget(settings.bodyMemoryBytes());
        this.platform = new HttpPlatformDocuments(settings.platformAddresses());
    }

    /** Listens on its addresses and starts its periodic work. */
    public void start() {
        RouterSettings settings = parts.settings;
        peerServer = new GrpcPeerServer(
                settings.peerAddress(),
                TlsContexts.peerServer(settings.peerTls()),
                endpoints,
                parts.self,
                parts.runtime.clock());
        callerServer = new CallerServer(
                settings.callerAddress(), TlsContexts.callerServer(settings.callerTls()), endpoints, bodies);
        adminServer = new AdminServer(
                settings.adminAddress(),
                TlsContexts.callerServer(settings.callerTls()),
                settings.adminKeyDigest(),
                endpoints,
                parts.metrics.registry());
        registerGauges();
        startWatchers();
        startSeeding();
        every(TICK, parts.owners::tick);
        every(LimitService.RENEWAL, parts.limits::renew);
        every(FORGET, parts.owners::evictExpired);
        startHeartbeats();
        startProbes();
        startServingQuestions();
        startCare();
        Logger.info(
                "event=started process={} caller_port={} peer_port={} admin_port={}",
                parts.self,
                callerPort(),
                peerPort(),
                adminPort());
    }

    /** Registers what is read when metrics are reported. */
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

    /** Starts watching the platform, one watcher a document set. */
    private void startWatchers() {
        Duration wait = Duration.ofMillis(parts.settings.timings().watchMillis());
        Duration pause = Duration.ofMillis(parts.settings.timings().startWaitMillis());
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            PlatformWatcher watcher = new PlatformWatcher(
                    platform,
                    topic,
                    parts.replication,
                    this::isToWatch,
                    wait,
                    new PlatformWatcher.Pauses(parts.runtime.timer(), ThreadLocalRandom.current()::nextDouble));
            watchers.add(watcher);
            watcher.start(pause);
        }
    }

    /** Tells whether this router is to watch the platform now. */
    private boolean isToWatch() {
        return !parts.replication.isOpen()
                || PlatformWatcher.isWatcher(
                        parts.membership.view(), parts.settings.host(), parts.settings.dataCentre());
    }

    /** Asks the seed peers for what they have, and ends the wait for peers after its time. */
    private void startSeeding() {
        Duration wait = Duration.ofMillis(parts.settings.timings().startWaitMillis());
        work.add(Mono.delay(wait, parts.runtime.timer())
                .subscribe(over -> parts.replication.gate().endWait()));
        Duration pause = Duration.ofMillis(parts.settings.timings().probeMillis());
        work.add(Flux.interval(Duration.ZERO, pause, parts.runtime.timer())
                .onBackpressureDrop()
                .takeWhile(tick -> !parts.replication.isOpen())
                .concatMap(tick -> Flux.fromIterable(parts.settings.seedPeers()).flatMap(this::askSeed))
                .subscribe(done -> {}, error -> {}));
    }

    /** Asks one seed peer for both document sets; only a peer that serves counts. */
    private Mono<Void> askSeed(Address seed) {
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

    /** Sends heartbeats as often as the configuration says. */
    private void startHeartbeats() {
        work.add(Mono.defer(() -> Mono.delay(Duration.ofMillis(heartbeatMillis()), parts.runtime.timer()))
                .doOnNext(tick -> parts.owners.heartbeat())
                .repeat()
                .subscribe());
    }

    /** Returns the time between heartbeats. */
    private long heartbeatMillis() {
        FleetConfiguration current = parts.replication.configuration();
        return current == null ? IDLE_HEARTBEAT_MILLIS : current.limits().heartbeatMillis();
    }

    /** Probes one neighbour a round. */
    private void startProbes() {
        Duration pause = Duration.ofMillis(parts.settings.timings().probeMillis());
        work.add(Flux.interval(pause, parts.runtime.timer())
                .onBackpressureDrop()
                .concatMap(tick -> parts.detector.runRound().onErrorResume(error -> Mono.empty()))
                .subscribe());
    }

    /** Asks routers that have not yet said so whether they serve; only those that do are named to callers. */
    private void startServingQuestions() {
        Duration pause = Duration.ofMillis(parts.settings.timings().probeMillis());
        work.add(Flux.interval(pause, parts.runtime.timer())
                .onBackpressureDrop()
                .concatMap(tick -> Flux.fromIterable(parts.membership.toAskWhetherTheyServe(SERVING_QUESTIONS))
                        .flatMap(host -> parts.detector.probe(host).onErrorResume(error -> Mono.empty())))
                .subscribe());
    }

    /**
     * Looks after the engines of the groups that this router owns by its own picture: at once when a configuration
     * was adopted or a router has died or started again, and else seldom, as each look costs bytes of the budget
     * for control.
     */
    private void startCare() {
        Duration pause = Duration.ofMillis(parts.settings.timings().careMillis());
        Flux<Long> seldom = Flux.interval(pause, parts.runtime.timer());
        Flux<Long> changes = Flux.interval(CARE_GATHER, parts.runtime.timer())
                .onBackpressureDrop()
                .map(tick -> parts.membership.view().revision() + configurationVersion())
                .distinctUntilChanged();
        work.add(Flux.merge(seldom, changes)
                .onBackpressureLatest()
                .concatMap(tick -> careOnce(), 1)
                .subscribe());
    }

    /** Looks once after the engines of owned groups. */
    private Mono<Void> careOnce() {
        FleetConfiguration current = parts.replication.configuration();
        if (current == null || !parts.replication.isOpen()) {
            return Mono.empty();
        }
        return Flux.fromIterable(current.parts().groups().values())
                .filter(this::isOwned)
                .concatMap(group -> parts.reconciler.reconcile(current, group))
                .then()
                .onErrorResume(error -> Mono.empty());
    }

    /** Tells whether this router owns a group by its own picture. */
    private boolean isOwned(Group group) {
        return parts.settings.host().equals(parts.ownership.owner(group, parts.membership.view(), Set.of()));
    }

    /** Runs work periodically. */
    private void every(Duration pause, Runnable task) {
        work.add(
                Flux.interval(pause, parts.runtime.timer()).onBackpressureDrop().subscribe(tick -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        // Without this, one failed round would end the periodic work for good, and requests would
                        // hang past their time limits with nothing in sight but a silent log.
                        Logger.error(e, "event=periodic_work_failed");
                    }
                }));
    }

    /** Starts a graceful stop. */
    public void drain() {
        parts.stop.drain();
    }

    /**
     * Tells when a graceful stop has ended.
     *
     * @return ends when nothing is in progress any more
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
     * @return the version, 0 before the first
     */
    public long configurationVersion() {
        return parts.replication.replica(ReplicationTopic.CONFIGURATION).version();
    }

    /**
     * Returns the version of the roster in force.
     *
     * @return the version, 0 before the first
     */
    public long rosterVersion() {
        return parts.replication.replica(ReplicationTopic.ROSTER).version();
    }

    /**
     * Tells whether this router takes requests under its configuration.
     *
     * @return whether it serves
     */
    public boolean isServing() {
        return parts.replication.isOpen();
    }

    /**
     * Returns how many routers the roster in force lists.
     *
     * @return the number
     */
    public int knownRouters() {
        return parts.replication.roster().routers().size();
    }

    /**
     * Returns the counters.
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

    /** Says farewell to the neighbours and stops at once; for a graceful stop, {@link #drain()} first. */
    @Override
    public void close() {
        parts.table.announce(MemberState.DEAD, parts.runtime.clock().millis());
        parts.news.tell();
        kill();
    }

    /** Stops at once and without a word, as a process does that is killed. */
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
