package org.apricotstack.router;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotstack.adapters.caller.OpenRequests;
import org.apricotstack.adapters.configuration.JsonConfigurationValidator;
import org.apricotstack.adapters.configuration.JsonRosterValidator;
import org.apricotstack.adapters.metrics.RouterMetrics;
import org.apricotstack.adapters.peer.GrpcPeerClient;
import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.adapters.tls.TlsContexts;
import org.apricotstack.adapters.upstream.HttpUpstreamGateway;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.entry.EntryGate;
import org.apricotstack.core.entry.EntryService;
import org.apricotstack.core.entry.EntryService.EntryIdentity;
import org.apricotstack.core.entry.GroupFinder;
import org.apricotstack.core.entry.RequestCoordinator;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.limits.AccountLimiter;
import org.apricotstack.core.limits.LeasedLimitShares;
import org.apricotstack.core.membership.FailureDetector;
import org.apricotstack.core.membership.MemberState;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.owner.OwnerService;
import org.apricotstack.core.owner.UpstreamReconciler;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.retry.RetryBudget;
import org.apricotstack.core.routing.GroupLoadTable;
import org.apricotstack.core.routing.GroupOwnership;
import org.apricotstack.core.routing.PrefixAffinityGroupChooser;
import org.apricotstack.core.ticket.TicketLedger;
import reactor.core.publisher.Mono;

/** Creates and connects the components of a router without starting them. */
final class RouterAssembly {

    private static final int TICKET_KEY_BYTES = 32;

    /** The settings of the router. */
    final RouterSettings settings;

    /** Clock and timer. */
    final RouterRuntime runtime;

    /** This process. */
    final ProcessId self;

    /** Counters, gauges and histograms. */
    final RouterMetrics metrics = new RouterMetrics();

    /** Replicas of the document sets. */
    final ReplicationService replication;

    /** The state of each router as known here. */
    final MembershipTable table;

    /** The membership view and the payload of probes. */
    final MembershipService membership;

    /** Client for peers. */
    final GrpcPeerClient peers;

    /** Probes peers. */
    final FailureDetector detector;

    /** Sends state updates to neighbours. */
    final NeighbourGossip gossip;

    /** Client for upstreams. */
    final HttpUpstreamGateway gateway;

    /** The groups that this router owns. */
    final OwnerService owners;

    /** Brings engines to their desired state. */
    final UpstreamReconciler reconciler;

    /** Determines the owners of groups. */
    final GroupOwnership ownership = new GroupOwnership();

    /** Chooses groups for requests. */
    final GroupFinder finder;

    /** The load of each group. */
    final GroupLoadTable loads;

    /** Handles requests of callers. */
    final EntryService entry;

    /** Counts the requests of callers. */
    final OpenRequests openRequests = new OpenRequests();

    /** Leases of client accounts' limits. */
    final LimitService limits;

    /** Controls the graceful shutdown. */
    final StopController stop;

    /** Creates the status for operators. */
    final StatusReport status;

    /** Creates all components. */
    RouterAssembly(RouterSettings settings, RouterRuntime runtime) {
        this.settings = settings;
        this.runtime = runtime;
        this.self = new ProcessId(settings.host(), runtime.startMillis());
        replication = new ReplicationService(
                new JsonConfigurationValidator(), new JsonRosterValidator(), metrics, runtime.clock());
        table = new MembershipTable(self, settings.timings().suspicionMillis());
        membership = new MembershipService(
                self,
                table,
                replication::roster,
                replication::versions,
                replication::versionsReported,
                runtime.clock());
        peers = new GrpcPeerClient(
                self, TlsContexts.peerClient(settings.peerTls()), runtime.clock(), membership::payload);
        detector = new FailureDetector(
                peers,
                membership,
                membership::view,
                settings.host(),
                table,
                new FailureDetector.DetectorTime(runtime.clock(), runtime.timer()),
                Duration.ofMillis(settings.timings().probeTimeoutMillis()));
        gossip = new NeighbourGossip(settings.host(), membership::view, detector);
        gateway = new HttpUpstreamGateway(self);
        owners = new OwnerService(
                replication::configuration, this::leavingUpstreams, gateway, metrics, runtime.clock(), runtime.timer());
        reconciler = new UpstreamReconciler(gateway, table, metrics);
        loads = new GroupLoadTable(runtime.clock());
        finder = new GroupFinder(
                settings.dataCentre(),
                membership::view,
                ownership,
                loads,
                new PrefixAffinityGroupChooser(loads),
                () -> ThreadLocalRandom.current().nextLong());
        RoutingDispatcher dispatcher = new RoutingDispatcher(settings.host(), owners, peers, membership::view);
        LeasedLimitShares shares =
                new LeasedLimitShares(() -> replication.roster().routers().size(), runtime.clock());
        AccountLimiter limiter = new AccountLimiter(shares, runtime.clock());
        limits = new LimitService(
                settings.host(), shares, limiter, membership::view, peers, runtime.clock(), replication::configuration);
        entry = entryService(dispatcher, limiter);
        stop = new StopController(
                self,
                () -> openRequests.count() + entry.ticketedRuns() + owners.active(),
                this::entryKeepMillis,
                this::announceLeaving,
                metrics::requestWhileLeaving,
                runtime);
        status = new StatusReport(self, settings.dataCentre(), replication, membership, table, owners);
        replication.connect(this::fetch, this::adopted);
    }

    /** Creates the service that handles requests of callers. */
    private EntryService entryService(RoutingDispatcher dispatcher, AccountLimiter limiter) {
        RequestCoordinator coordinator = new RequestCoordinator(
                finder, dispatcher, loads, new RetryBudget(), metrics, runtime.clock(), runtime.timer());
        byte[] ticketKey = new byte[TICKET_KEY_BYTES];
        new SecureRandom().nextBytes(ticketKey);
        TicketLedger ledger = new TicketLedger(self, ticketKey, runtime.clock());
        AtomicLong requests = new AtomicLong();
        EntryIdentity identity = new EntryIdentity(
                self,
                runtime.clock(),
                () -> new RequestId(self.host() + "." + self.incarnation() + "." + requests.incrementAndGet()));
        return new EntryService(new Gate(), limiter, coordinator, ledger, dispatcher, metrics, identity);
    }

    /** Decides whether new requests are accepted. */
    private final class Gate implements EntryGate {

        @Override
        public RefusalReason closedReason() {
            if (table.isReplaced()) {
                return RefusalReason.STOPPING;
            }
            if (!replication.isOpen()) {
                return RefusalReason.NO_CONFIGURATION;
            }
            return null;
        }

        @Override
        public RefusalReason stoppingReason(String request, long timeLimitMillis) {
            return stop.closedReason(request, timeLimitMillis);
        }

        @Override
        public FleetConfiguration configuration() {
            return replication.configuration();
        }
    }

    /** Returns the upstreams that are leaving according to the roster. */
    private Set<UpstreamId> leavingUpstreams() {
        return replication.roster().leavingUpstreams();
    }

    /** Returns how long callers may cache the addresses of routers, in milliseconds. */
    long entryKeepMillis() {
        FleetConfiguration current = replication.configuration();
        return current == null ? 0 : current.limits().entryKeepMillis();
    }

    /** Fetches a document set from a peer. */
    private Mono<DocumentDelta> fetch(HostId peer, ReplicationTopic topic) {
        RosterHost target = replication.roster().routers().get(peer);
        if (target == null) {
            return Mono.empty();
        }
        long since = replication.replica(topic).version();
        return peers.documents(target, topic, since)
                .timeout(
                        Duration.ofMillis(settings.timings().probeTimeoutMillis() * 5),
                        Mono.error(new IllegalStateException("The peer did not answer in time.")),
                        runtime.timer());
    }

    /** Applies an adopted version to the owned groups, and notifies the neighbours at once. */
    private void adopted() {
        owners.refresh();
        gossip.broadcast();
    }

    /** Announces that this router is leaving. */
    private void announceLeaving() {
        table.announce(MemberState.LEAVING, runtime.clock().millis());
        gossip.broadcast();
    }
}
