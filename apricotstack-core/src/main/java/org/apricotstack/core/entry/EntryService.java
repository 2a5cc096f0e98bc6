package org.apricotstack.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.limits.AccountLimiter;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.ticket.Ticket;
import org.apricotstack.core.ticket.TicketLedger;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;

/** Accepts requests of callers: checks them, applies account limits and tickets, and runs them. */
public final class EntryService {

    /** Suggested retry delay while this router does not accept requests, in milliseconds. */
    private static final long CLOSED_RETRY_MILLIS = 500;

    /** Name of requests for tickets in the log. */
    private static final String TICKET_REQUEST = "ticket";

    private final EntryGate gate;
    private final AccountLimiter limiter;
    private final RequestCoordinator coordinator;
    private final TicketLedger ledger;
    private final TicketedRuns ticketed;
    private final TicketForwarder forwarder;
    private final EntryMetrics metrics;
    private final EntryIdentity identity;
    private final AtomicLong active = new AtomicLong();
    private final AtomicLong ticketedRuns = new AtomicLong();

    /**
     * Creates a service.
     *
     * @param gate whether requests are accepted
     * @param limiter limits of client accounts
     * @param coordinator runs admitted requests
     * @param ledger tickets of this process
     * @param forwarder forwards requests to the issuers of their tickets
     * @param metrics counters
     * @param identity process, clock and generator of request ids
     */
    public EntryService(
            EntryGate gate,
            AccountLimiter limiter,
            RequestCoordinator coordinator,
            TicketLedger ledger,
            TicketForwarder forwarder,
            EntryMetrics metrics,
            EntryIdentity identity) {
        this.gate = gate;
        this.limiter = limiter;
        this.coordinator = coordinator;
        this.ledger = ledger;
        this.ticketed = new TicketedRuns(ledger);
        this.forwarder = forwarder;
        this.metrics = metrics;
        this.identity = identity;
    }

    /**
     * Identity of this router.
     *
     * @param process this process
     * @param clock the local clock
     * @param requestIds generates request ids that are unique over all routers
     */
    public record EntryIdentity(ProcessId process, MonotonicClock clock, Supplier<RequestId> requestIds) {}

    /**
     * Issues a ticket.
     *
     * @param keyDigest SHA-256 of the caller's key, or {@code null}
     * @return the ticket
     * @throws RefusedException if the caller has no client account or this router accepts no requests
     */
    public Ticket issueTicket(String keyDigest) {
        FleetConfiguration configuration = requireOpen();
        EntryRequest accountRequest = new EntryRequest(keyDigest, null, null, 0, 0, null, null, null, null, null);
        try {
            new RequestChecks(configuration, accountRequest).account();
            requireAccepted(gate.stoppingReason(TICKET_REQUEST, 0));
        } catch (RefusedException e) {
            metrics.requestRefused(e.refusal());
            throw e;
        }
        return ledger.issue(configuration.limits().ticketValidMillis());
    }

    /**
     * Submits a request.
     *
     * @param request the request
     * @return its id and its answer, which fails with a {@link RefusedException} if the request is refused
     */
    public Submission submit(EntryRequest request) {
        RequestId id = identity.requestIds().get();
        return new Submission(id, Flux.defer(() -> checkAndRun(id, request)));
    }

    /**
     * A submitted request.
     *
     * @param id its id
     * @param answer its answer; subscribing starts it, cancelling cancels it
     */
    public record Submission(RequestId id, Flux<AttemptSignal> answer) {}

    /** Checks a request and runs it. Refusals by the checks are counted here, refusals by the run where they occur. */
    private Flux<AttemptSignal> checkAndRun(RequestId id, EntryRequest request) {
        try {
            FleetConfiguration configuration = requireOpen();
            RequestChecks checks = new RequestChecks(configuration, request);
            ClientAccount account = checks.account();
            Service service = checks.service(account);
            Deadline deadline = checks.deadline(service, identity.clock());
            requireAccepted(gate.stoppingReason(id.value(), deadline.remainingMillis(identity.clock())));
            Work work = checks.work(account.id(), service);
            AdmittedRequest admitted = checks.admitted(id, work, service, deadline);
            Ticket ticket = ticket(request);
            long cost = Math.max(1, work.promptTokens() + work.outputTokens());
            Refusal limited = limiter.admit(account, configuration.preset(), cost);
            if (limited != null) {
                throw limited.toException();
            }
            active.incrementAndGet();
            return run(admitted, ticket).doFinally(end -> {
                active.decrementAndGet();
                limiter.release(account.id(), 0);
            });
        } catch (RefusedException e) {
            Refusal refusal = withKnownOutcome(request, e.refusal());
            metrics.requestRefused(refusal);
            return Flux.error(refusal.toException());
        }
    }

    /** Returns the refusal of a request before its run; an earlier try with its ticket may have been run. */
    private Refusal withKnownOutcome(EntryRequest request, Refusal refusal) {
        Ticket ticket = request.ticketText() == null ? null : Ticket.parse(request.ticketText());
        return ticket == null || ledger.isUnspent(ticket) ? refusal : refusal.withOutcome(Outcome.UNKNOWN);
    }

    /** Returns the ticket of a request, or {@code null}. */
    private static Ticket ticket(EntryRequest request) {
        if (request.ticketText() == null) {
            return null;
        }
        Ticket ticket = Ticket.parse(request.ticketText());
        if (ticket == null) {
            throw Refusal.notRun(RefusalReason.TICKET_INVALID, 0).toException();
        }
        return ticket;
    }

    /** Runs an admitted request here, or in the process that issued its ticket. */
    private Flux<AttemptSignal> run(AdmittedRequest admitted, Ticket ticket) {
        if (ticket == null) {
            return coordinator.run(admitted);
        }
        if (ticket.issuer().equals(identity.process())) {
            return runTicketed(ticket, admitted);
        }
        Refusal issuerLost = Refusal.unknown(RefusalReason.TICKET_HOME_LOST);
        Flux<AttemptSignal> forwarded = forwarder
                .forward(
                        admitted.id(),
                        ticket,
                        admitted.work(),
                        admitted.deadline().withMargin(identity.clock()))
                .concatMap(new ForwardedAnswer(admitted.id())::check)
                .takeUntil(signal -> signal instanceof AttemptSignal.Completed)
                .concatWith(Flux.error(issuerLost::toException));
        return coordinator
                .limits()
                .endBy(forwarded, admitted.deadline(), () -> issuerLost)
                .onErrorMap(
                        error -> RefusedException.refusalOf(error, issuerLost).toException())
                .doOnError(error -> metrics.requestRefused(((RefusedException) error).refusal()));
    }

    /**
     * Runs a request that another router forwarded because this process issued its ticket.
     *
     * @param id the request
     * @param ticketText its ticket
     * @param work what to run
     * @param deadline the time by which it must have ended, on the local clock
     * @return its events up to the last
     */
    public Flux<AttemptSignal> runForwarded(RequestId id, String ticketText, Work work, Deadline deadline) {
        return Flux.defer(() -> {
            Ticket ticket = Ticket.parse(ticketText);
            FleetConfiguration configuration = gate.configuration();
            Service service = configuration == null ? null : configuration.service(work.service());
            if (ticket == null || service == null || !ticket.issuer().equals(identity.process())) {
                return Flux.error(
                        Refusal.unknown(RefusalReason.TICKET_HOME_LOST).toException());
            }
            if (gate.stoppingReason(id.value(), deadline.remainingMillis(identity.clock())) != null) {
                return Flux.error(
                        Refusal.unknown(RefusalReason.TICKET_HOME_LOST).toException());
            }
            AdmittedRequest admitted = new AdmittedRequest(
                    id,
                    work,
                    service,
                    configuration.limits().lengthClass(work.promptTokens()),
                    deadline,
                    configuration);
            return runTicketed(ticket, admitted);
        });
    }

    /** Runs a request with a ticket of this process, and counts the run until it ends, whoever still waits for it. */
    private Flux<AttemptSignal> runTicketed(Ticket ticket, AdmittedRequest admitted) {
        Flux<AttemptSignal> counted = Flux.defer(() -> {
            ticketedRuns.incrementAndGet();
            return coordinator.run(admitted).doFinally(end -> ticketedRuns.decrementAndGet());
        });
        return ticketed.run(ticket, contentDigest(admitted.work()), counted);
    }

    /** Computes the digest that identifies equal requests, from account, service, call and body. */
    private static String contentDigest(Work work) {
        Hasher hasher = Hashing.sha256()
                .newHasher()
                .putString(work.account() + "|" + work.service() + "|", StandardCharsets.UTF_8);
        if (work.call() != null) {
            hasher.putString(work.call().method() + " " + work.call().path() + "|", StandardCharsets.UTF_8);
        }
        return hasher.putBytes(work.body()).hash().toString();
    }

    /** Returns the configuration, or throws the refusal if this router accepts no requests. */
    private FleetConfiguration requireOpen() {
        requireAccepted(gate.closedReason());
        return gate.configuration();
    }

    /** Throws the refusal for a reason, if there is one. */
    private static void requireAccepted(RefusalReason reason) {
        if (reason != null) {
            throw Refusal.notRun(reason, CLOSED_RETRY_MILLIS).toException();
        }
    }

    /**
     * Returns the number of requests of callers in progress.
     *
     * @return the number
     */
    public long active() {
        return active.get();
    }

    /**
     * Returns the number of running requests with tickets of this process, including those that other routers forwarded
     * and those whose callers disconnected.
     *
     * @return the number
     */
    public long ticketedRuns() {
        return ticketedRuns.get();
    }
}
