package org.apricotstack.core.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.entry.AttemptDispatcher;
import org.apricotstack.core.entry.EntryGate;
import org.apricotstack.core.entry.EntryService;
import org.apricotstack.core.entry.ForwardedAnswer;
import org.apricotstack.core.entry.GroupFinder;
import org.apricotstack.core.entry.RequestCoordinator;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.limits.AccountLimiter;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.owner.HeldStream;
import org.apricotstack.core.owner.OwnerService;
import org.apricotstack.core.owner.UpstreamGateway;
import org.apricotstack.core.owner.UpstreamReconciler;
import org.apricotstack.core.retry.RetryBudget;
import org.apricotstack.core.routing.GroupLoadTable;
import org.apricotstack.core.routing.GroupOwnership;
import org.apricotstack.core.routing.LeastDelayTestChooser;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.ticket.Ticket;
import org.apricotstack.core.ticket.TicketLedger;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A router process of a seeded schedule: the production decision code with simulated connections. */
final class FleetNode implements NetworkNode {

    private final ProcessId process;
    private final SeededFleet fleet;
    private final NodeScheduler timer;
    private final OwnerService owners;
    private final EntryService entry;
    private final MembershipTable table;
    private final UpstreamReconciler reconciler;
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final NoMetrics metrics = new NoMetrics();
    private boolean stopped;
    private long askedMillis;

    FleetNode(ProcessId process, DataCentreId dataCentre, SeededFleet fleet, VirtualTimeScheduler time) {
        this.process = process;
        this.fleet = fleet;
        this.timer = new NodeScheduler(time);
        MonotonicClock clock = () -> time.now(TimeUnit.NANOSECONDS);
        this.table = new MembershipTable(process, 1_000);
        UpstreamGateway gateway = new Gateway();
        FleetConfiguration configuration = fleet.configuration();
        this.owners = new OwnerService(() -> configuration, () -> leaving, gateway, metrics, clock, timer);
        this.reconciler = new UpstreamReconciler(gateway, table, metrics);
        GroupLoadTable loads = new GroupLoadTable(clock);
        GroupFinder finder = new GroupFinder(
                dataCentre,
                this::view,
                new GroupOwnership(),
                loads,
                new LeastDelayTestChooser(loads),
                fleet.random()::nextLong);
        RequestCoordinator coordinator =
                new RequestCoordinator(finder, new Dispatcher(), loads, new RetryBudget(), metrics, clock, timer);
        AtomicLong requests = new AtomicLong();
        EntryGate gate = new EntryGate() {
            @Override
            public RefusalReason closedReason() {
                return null;
            }

            @Override
            public RefusalReason stoppingReason(String request, long timeLimitMillis) {
                askedMillis = timeLimitMillis;
                return stopped ? RefusalReason.STOPPING : null;
            }

            @Override
            public FleetConfiguration configuration() {
                return configuration;
            }
        };
        byte[] key = new byte[] {(byte) process.incarnation(), 1, 2, 3};
        this.entry = new EntryService(
                gate,
                new AccountLimiter(account -> 1, clock),
                coordinator,
                new TicketLedger(process, key, clock),
                this::forward,
                metrics,
                new EntryService.EntryIdentity(
                        process, clock, () -> new RequestId(name() + "." + requests.incrementAndGet())));
        Flux.interval(Duration.ofMillis(25), timer).subscribe(tick -> owners.tick());
        Flux.interval(Duration.ofMillis(100), timer).subscribe(tick -> owners.heartbeat());
        Flux.interval(Duration.ofSeconds(1), timer).subscribe(tick -> reconcileAll());
    }

    /** Reconciles all engines, as an owner of all groups does. */
    private void reconcileAll() {
        fleet.configuration().parts().groups().values().forEach(group -> reconciler
                .reconcile(fleet.configuration(), group)
                .subscribe(done -> {}, error -> {}));
    }

    private MemberView view() {
        return fleet.viewOf(table);
    }

    private Flux<AttemptEvent> forward(RequestId id, Ticket ticket, Work work, Deadline deadline) {
        FleetNode issuer = fleet.nodeOf(ticket.issuer());
        if (issuer == null) {
            return Flux.error(Refusal.unknown(RefusalReason.TICKET_HOME_LOST).toException());
        }
        AttemptId attempt = ForwardedAnswer.attempt(id);
        Flux<AttemptEvent> run = issuer.entry
                .runForwarded(id, ticket.toString(), work, deadline)
                .map(signal -> new AttemptEvent(attempt, signal))
                .onErrorResume(error -> Mono.just(AttemptEvent.refused(
                        attempt,
                        RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR)),
                        null)));
        return fleet.network().call(this, issuer, run).onErrorMap(error -> Refusal.unknown(
                        RefusalReason.TICKET_HOME_LOST)
                .toException());
    }

    /** Records that another process is alive. */
    void addAlive(ProcessId other) {
        table.recordAlive(other, 0);
    }

    @Override
    public String name() {
        return process.host().value();
    }

    ProcessId process() {
        return process;
    }

    @Override
    public NodeScheduler timer() {
        return timer;
    }

    EntryService entry() {
        return entry;
    }

    OwnerService owners() {
        return owners;
    }

    /** Returns the time limit of the last request that the gate was asked about. */
    long askedMillis() {
        return askedMillis;
    }

    /** Lets the process take no more requests. */
    void stop() {
        stopped = true;
    }

    /** Marks an upstream as leaving, as the roster does. */
    void markLeaving(UpstreamId upstream) {
        leaving.add(upstream);
        owners.refresh();
    }

    /** Dispatches attempts to the owner's process over the faulty network. */
    private final class Dispatcher implements AttemptDispatcher {

        @Override
        public Flux<AttemptEvent> dispatch(HostId owner, DispatchCommand command) {
            FleetNode target = fleet.node(owner);
            if (owner.equals(process.host())) {
                return owners.dispatch(command);
            }
            if (target == null || target.timer.isDead()) {
                return Flux.error(
                        Refusal.notRun(RefusalReason.OWNER_UNREACHABLE, 0).toException());
            }
            return fleet.network().call(FleetNode.this, target, Flux.defer(() -> target.owners.dispatch(command)));
        }

        @Override
        public void replaceConnection(HostId owner, long sentNanos) {
            // Each call of the faulty network is a connection of its own.
        }
    }

    /** The connections of this process to the upstreams. */
    private final class Gateway implements UpstreamGateway {

        @Override
        public Flux<AttemptEvent> run(Assignment assignment, long remainingMillis) {
            return fleet.upstreams().run(process, timer, assignment, remainingMillis);
        }

        @Override
        public Mono<Void> release(Upstream upstream, AttemptId attempt) {
            return fleet.upstreams().release(upstream, attempt);
        }

        @Override
        public Mono<List<HeldStream>> heldStreams(Upstream upstream) {
            return fleet.upstreams().list(upstream);
        }

        @Override
        public Mono<DesiredUpstreamState> state(Upstream upstream) {
            return fleet.upstreams().state(upstream);
        }

        @Override
        public Mono<Boolean> order(Upstream upstream, DesiredUpstreamState order) {
            return Mono.just(true);
        }
    }
}
