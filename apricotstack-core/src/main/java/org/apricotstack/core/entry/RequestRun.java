package org.apricotstack.core.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.configuration.Model;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ModelId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.retry.RetryPolicy;
import org.apricotstack.core.retry.RetryReason;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.stream.StreamGuard;
import org.apricotstack.core.stream.StreamVerdict;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The state of one request at its entry router.
 *
 * <p>{@link #mayHaveRun} determines the outcome in a refusal: it becomes true when an attempt is sent, and false again
 * only if the owner itself reports that the attempt was not run. Anything else that ends an attempt, such as a lost
 * connection or a time limit, leaves it true, and the refusal then states {@code unknown}.
 */
final class RequestRun {

    /** Back-off before the next attempt, in milliseconds. */
    private static final long RETRY_BACK_OFF_MILLIS = 20;

    /** Suggested retry delay if no group could take the request, in milliseconds. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;

    private final RequestCoordinator coordinator;
    private final AdmittedRequest request;
    private final MonotonicClock clock;
    private final long startedNanos;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private final Set<GroupId> avoidedGroups = new HashSet<>();
    private final Set<HostId> avoidedHosts = new HashSet<>();
    private final Set<HostId> hostsLostOnce = new HashSet<>();
    private int attempts;
    private long offset;
    private boolean headForwarded;
    private volatile boolean mayHaveRun;
    private boolean earlierAttemptMayHaveRun;
    private Refusal lastRefusal;

    /** Creates the run of a request. */
    RequestRun(RequestCoordinator coordinator, AdmittedRequest request) {
        this.coordinator = coordinator;
        this.request = request;
        this.clock = coordinator.clock();
        this.startedNanos = clock.nanos();
    }

    /** Returns the signals for the caller. */
    Flux<AttemptSignal> signals() {
        coordinator.budget().deposit(request.configuration().limits().retryShare());
        return coordinator
                .limits()
                .endBy(attempt(), request.deadline(), this::timeLimitRefusal)
                .doOnNext(this::countCompleted)
                .doOnError(error -> coordinator
                        .metrics()
                        .requestRefused(
                                RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR))));
    }

    /** Returns the refusal at the time limit, with the outcome known at that time. */
    private Refusal timeLimitRefusal() {
        return new Refusal(RefusalReason.TIME_LIMIT, mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, 0, "");
    }

    /** Counts a completed answer. */
    private void countCompleted(AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Completed) {
            coordinator.metrics().requestCompleted();
        }
    }

    /** Runs one attempt, and retries it where that is safe. */
    private Flux<AttemptSignal> attempt() {
        GroupFinder.Target target = coordinator.finder().choose(request, avoidedGroups, avoidedHosts);
        if (target == null) {
            return Flux.error(noGroupRefusal().toException());
        }
        coordinator.metrics().groupChosen(target.reason());
        attempts++;
        AttemptId id = new AttemptId(request.id(), attempts);
        StreamGuard guard = new StreamGuard(id, offset);
        mayHaveRun = true;
        return attemptEvents(target, id)
                .concatMap(event -> check(guard, event))
                .concatWith(Mono.error(
                        () -> Refusal.unknown(RefusalReason.ANSWER_CUT).toException()))
                .takeUntil(signal -> signal instanceof AttemptSignal.Completed)
                .onErrorResume(error -> afterFailure(target, error));
    }

    /** Dispatches the attempt to its owner, with a time-out for silence. */
    private Flux<AttemptEvent> attemptEvents(GroupFinder.Target target, AttemptId id) {
        Duration silenceTimeout =
                Duration.ofMillis(request.configuration().limits().silenceMillis());
        DispatchCommand command = new DispatchCommand(
                id,
                target.group().id(),
                request.work(),
                request.deadline().withMargin(clock),
                offset,
                Set.copyOf(excluded));
        Flux<AttemptEvent> attemptEvents = coordinator.dispatcher().dispatch(target.owner(), command);
        return attemptEvents
                .timeout(silenceTimeout, onSilence(target.owner(), clock.nanos()), coordinator.timer())
                .doOnNext(event -> recordLoad(event));
    }

    /** Handles a silent owner: replaces the connection to it and fails the attempt. */
    private Flux<AttemptEvent> onSilence(HostId owner, long sentNanos) {
        return Flux.defer(() -> {
            coordinator.dispatcher().replaceConnection(owner, sentNanos);
            return Flux.error(Refusal.unknown(RefusalReason.OWNER_LOST).toException());
        });
    }

    /** Records the load that an event carries. */
    private void recordLoad(AttemptEvent event) {
        if (event.load() != null) {
            coordinator.loads().record(event.load());
        }
    }

    /** Checks an event and converts it to signals for the caller. */
    private Flux<AttemptSignal> check(StreamGuard guard, AttemptEvent event) {
        StreamVerdict verdict = guard.check(event);
        if (verdict != StreamVerdict.PASS) {
            coordinator.metrics().eventDropped(verdict);
        }
        return switch (verdict) {
            case PASS -> forward(guard, event.signal());
            case REPEATED, LATE -> Flux.empty();
            case CROSSED -> Flux.error(
                    Refusal.unknown(RefusalReason.ANSWER_CROSSED).toException());
            default -> Flux.error(Refusal.unknown(RefusalReason.ANSWER_CUT).toException());
        };
    }

    /** Forwards a signal, or fails with the refusal that it carries. */
    private Flux<AttemptSignal> forward(StreamGuard guard, AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Refused refused) {
            if (refused.upstream() != null) {
                excluded.add(refused.upstream());
            }
            return Flux.error(refused.refusal().toException());
        }
        if (signal instanceof AttemptSignal.Chunk) {
            if (offset == 0) {
                long millis = (clock.nanos() - startedNanos) / Deadline.NANOS_PER_MILLI;
                coordinator.metrics().firstToken(request.lengthClass(), millis);
            }
            offset = guard.offset();
        }
        headForwarded |= signal instanceof AttemptSignal.Head;
        boolean internal = signal instanceof AttemptSignal.Queued || signal instanceof AttemptSignal.Started;
        return internal ? Flux.empty() : Flux.just(signal);
    }

    /** Decides whether and how a failed attempt is retried. */
    private Flux<AttemptSignal> afterFailure(GroupFinder.Target target, Throwable error) {
        Refusal refusal = RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.OWNER_LOST));
        boolean notRun = refusal.outcome() == Outcome.NOT_RUN;
        lastRefusal = refusal;
        mayHaveRun = !notRun || earlierAttemptMayHaveRun;
        earlierAttemptMayHaveRun = mayHaveRun;
        RetryReason reason = RetryPolicy.reasonToRetry(refusal, request.work().repeatable(), isContinuable());
        if (reason == null || attempts >= request.configuration().limits().maxAttempts()) {
            return Flux.error(withTotalOutcome(refusal).toException());
        }
        if (!coordinator.budget().trySpend()) {
            coordinator.metrics().retryBudgetExhausted();
            return Flux.error(withTotalOutcome(refusal).toException());
        }
        avoid(target, reason);
        coordinator.metrics().attemptRetried(reason);
        return Mono.delay(Duration.ofMillis(RETRY_BACK_OFF_MILLIS), coordinator.timer())
                .thenMany(Flux.defer(this::attempt));
    }

    /** Excludes the router or group that has just failed from the next attempt. */
    private void avoid(GroupFinder.Target target, RetryReason reason) {
        switch (reason) {
            case OWNER_DID_NOT_TAKE -> avoidedHosts.add(target.owner());
            case OWNER_LOST -> avoidOnSecondLoss(target.owner());
            case OTHER_GROUP -> avoidedGroups.add(target.group().id());
            default -> {
                boolean allUpstreamsExcluded = excluded.size()
                        >= request.configuration()
                                .upstreams(target.group().id())
                                .size();
                if (allUpstreamsExcluded || lastRefusal.reason() == RefusalReason.NO_GROUP) {
                    avoidedGroups.add(target.group().id());
                }
            }
        }
    }

    /**
     * Avoids an owner that was lost twice. The first loss may only concern the connection, so the next attempt uses a
     * new connection to the same owner, which holds the queue and the memory reservations of the group.
     */
    private void avoidOnSecondLoss(HostId owner) {
        if (!hostsLostOnce.add(owner)) {
            avoidedHosts.add(owner);
        }
    }

    /** Tells whether another attempt can continue the answer. */
    private boolean isContinuable() {
        if (offset == 0 && !headForwarded) {
            return true;
        }
        if (request.service().kind() == ServiceKind.PLAIN) {
            return false;
        }
        Model model =
                request.configuration().model(new ModelId(request.service().target()));
        return model != null && model.deterministic();
    }

    /** Returns the refusal for the caller, with the outcome over all attempts. */
    private Refusal withTotalOutcome(Refusal refusal) {
        return refusal.withOutcome(mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }

    /** Returns the refusal for a request that no group can take at present. */
    private Refusal noGroupRefusal() {
        if (lastRefusal != null) {
            return withTotalOutcome(lastRefusal);
        }
        boolean fits = request.configuration().groups(request.service()).stream()
                .anyMatch(group -> GroupFinder.canHold(request.configuration(), group, request));
        boolean exists = !request.configuration().groups(request.service()).isEmpty();
        if (exists && !fits) {
            return Refusal.notRun(RefusalReason.PROMPT_TOO_LONG, 0);
        }
        return Refusal.notRun(RefusalReason.NO_GROUP, UNAVAILABLE_RETRY_MILLIS);
    }
}
