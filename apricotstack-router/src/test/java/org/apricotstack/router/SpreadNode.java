package org.apricotstack.router;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.apricotstack.adapters.configuration.JsonRosterValidator;
import org.apricotstack.adapters.metrics.RouterMetrics;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.fleet.FleetConfigurations;
import org.apricotstack.core.fleet.NetworkNode;
import org.apricotstack.core.fleet.NodeScheduler;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.FailureDetector;
import org.apricotstack.core.membership.MemberState;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.PeerProbes;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.replication.Validated;
import org.apricotstack.core.routing.EntryRouterSelector;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** A simulated router process with real replication and membership and a simulated network. */
final class SpreadNode implements NetworkNode {

    private static final Duration PROBE = Duration.ofMillis(500);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);
    private static final int MAX_ENTRIES = 8;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(300);
    private static final Duration START_WAIT = Duration.ofMillis(1_500);

    private final ProcessId process;
    private final SpreadFleet fleet;
    private final NodeScheduler timer;
    private final ReplicationService replication;
    private final MembershipTable table;
    private final MembershipService membership;
    private final EntryRouterSelector selector;
    private final StopController stop;
    private long open;
    private long served;

    SpreadNode(ProcessId process, DataCentreId dataCentre, SpreadFleet fleet, Random random) {
        this.process = process;
        this.fleet = fleet;
        this.timer = new NodeScheduler(fleet.time());
        MonotonicClock clock = () -> fleet.time().now(TimeUnit.NANOSECONDS);
        RouterMetrics metrics = new RouterMetrics();
        replication = new ReplicationService(SpreadNode::validate, new JsonRosterValidator(), metrics, clock);
        table = new MembershipTable(process, 1_000);
        membership = new MembershipService(
                process, table, replication::roster, replication::versions, replication::versionsReported, clock);
        FailureDetector detector = new FailureDetector(
                new Probes(),
                membership,
                membership::view,
                process.host(),
                table,
                new FailureDetector.DetectorTime(clock, timer),
                PROBE_TIMEOUT);
        NeighbourGossip gossip = new NeighbourGossip(process.host(), membership::view, detector);
        replication.connect(this::fetch, gossip::broadcast);
        selector = new EntryRouterSelector(dataCentre, membership::isKnownToServe, MAX_ENTRIES);
        stop = new StopController(
                process,
                () -> open,
                () -> replication.configuration().limits().entryKeepMillis(),
                () -> {
                    table.announce(MemberState.LEAVING, clock.millis());
                    gossip.broadcast();
                },
                () -> {},
                new RouterRuntime(clock, timer, process.incarnation(), STOP_LIMIT));
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            PlatformWatcher watcher = new PlatformWatcher(
                    fleet.platform(),
                    topic,
                    replication,
                    () -> !replication.isOpen()
                            || PlatformWatcher.isWatcher(membership.view(), process.host(), dataCentre),
                    Duration.ofSeconds(5),
                    new PlatformWatcher.Delays(timer, random::nextDouble));
            watcher.start(START_WAIT);
        }
        Mono.delay(START_WAIT, timer).subscribe(over -> replication.gate().endWait());
        Flux.interval(Duration.ZERO, PROBE_TIMEOUT, timer)
                .takeWhile(tick -> !replication.isOpen())
                .onBackpressureDrop()
                .subscribe(tick -> fetchFromSeeds());
        Flux.interval(PROBE, timer).onBackpressureDrop().subscribe(tick -> detector.runRound()
                .subscribe(done -> {}, error -> {}));
    }

    /** Versions with a document whose body is "bad" are invalid on all processes. */
    private static Validated<FleetConfiguration> validate(DocumentSet documents) {
        boolean bad = documents.documents().values().stream().anyMatch(d -> "bad".equals(d.body()));
        return bad
                ? new Validated<>(null, List.of(new Problem("test", "", "bad", "good")))
                : new Validated<>(FleetConfigurations.small(documents.version(), FleetLimits.DEFAULT), List.of());
    }

    /** Fetches from all other hosts, as a process does that knows only its seed peers. */
    private void fetchFromSeeds() {
        for (SpreadNode seed : fleet.nodes()) {
            if (seed == this) {
                continue;
            }
            fleet.network()
                    .call(this, seed, Mono.fromSupplier(() -> seed.answer()).flux())
                    .filter(answer -> !answer.payload().versions().isEmpty())
                    .next()
                    .flatMapMany(answer -> Flux.fromArray(ReplicationTopic.values())
                            .concatMap(topic ->
                                    documents(seed, topic, 0).doOnNext(delta -> replication.offer(topic, delta)))
                            .doOnComplete(() -> membership.receive(answer)))
                    .timeout(PROBE_TIMEOUT.multipliedBy(2), timer)
                    .subscribe(done -> {}, error -> {});
        }
    }

    private PeerProbes.ProbeAnswer answer() {
        return new PeerProbes.ProbeAnswer(membership.payload(), fleet.time().now(TimeUnit.NANOSECONDS));
    }

    private Mono<DocumentDelta> documents(SpreadNode from, ReplicationTopic topic, long since) {
        return fleet.network()
                .call(
                        this,
                        from,
                        Mono.fromSupplier(() -> from.replication.replica(topic).since(since))
                                .flux())
                .next();
    }

    private Mono<DocumentDelta> fetch(HostId peer, ReplicationTopic topic) {
        return documents(fleet.node(peer), topic, replication.replica(topic).version())
                .timeout(Duration.ofSeconds(1), timer);
    }

    /** Adopts the newest published version, also if the platform serves an older one. */
    void adoptNewestOf(SpreadPlatform platform) {
        replication.offer(ReplicationTopic.CONFIGURATION, platform.newest(ReplicationTopic.CONFIGURATION));
    }

    /** Checks that the version in force never decreases, and returns it. */
    long checkVersion() {
        long version = replication.replica(ReplicationTopic.CONFIGURATION).version();
        if (version < served) {
            throw new IllegalStateException(process + " went back from " + served + " to " + version);
        }
        served = version;
        return version;
    }

    boolean isServing() {
        return replication.isOpen();
    }

    /** Returns the routers that this one names to a caller. */
    List<HostId> entries(String callerIp) {
        return selector.select(membership.view(), callerIp);
    }

    /** Starts a shutdown, after which the process does not run any more. */
    void drain(Runnable onEnded) {
        stop.ended().subscribe(done -> {}, error -> {}, () -> {
            timer.kill();
            onEnded.run();
        });
        stop.drain();
    }

    /** Takes or refuses a request, or a request for a ticket, and runs it until the end of its time limit. */
    Arrival arrive(String request, Duration timeLimit) {
        if (timer.isDead()) {
            return Arrival.NOT_CONNECTED;
        }
        if (stop.closedReason(request, timeLimit.toMillis()) == RefusalReason.STOPPING) {
            return Arrival.REFUSED;
        }
        open++;
        fleet.time().schedule(() -> open--, timeLimit.toMillis(), TimeUnit.MILLISECONDS);
        return Arrival.TAKEN;
    }

    /** Returns the number of requests in progress. */
    long open() {
        return open;
    }

    /** What becomes of a request that is sent to a process. */
    enum Arrival {
        /** The process runs it. */
        TAKEN,
        /** The process refuses it as it is stopping. */
        REFUSED,
        /** The process does not run any more, so the caller uses its next address. */
        NOT_CONNECTED
    }

    ProcessId process() {
        return process;
    }

    MembershipTable table() {
        return table;
    }

    @Override
    public String name() {
        return process.host().value();
    }

    @Override
    public NodeScheduler timer() {
        return timer;
    }

    /** Sends probes over the simulated network. */
    private final class Probes implements PeerProbes {

        @Override
        public Mono<ProbeAnswer> probe(RosterHost target, ProbePayload payload) {
            SpreadNode node = fleet.node(target.id());
            Flux<ProbeAnswer> work = Flux.defer(() -> {
                node.membership.receive(payload);
                return Flux.just(node.answer());
            });
            return fleet.network().call(SpreadNode.this, node, work).next();
        }

        @Override
        public Mono<Boolean> probeThrough(RosterHost via, HostId target) {
            SpreadNode helper = fleet.node(via.id());
            Flux<Boolean> work = Flux.defer(() -> helper.new Probes()
                    .probe(helper.membership.view().roster().routers().get(target), helper.membership.payload())
                    .timeout(PROBE_TIMEOUT, helper.timer)
                    .map(answer -> true)
                    .onErrorReturn(false));
            return fleet.network().call(SpreadNode.this, helper, work).next();
        }
    }
}
