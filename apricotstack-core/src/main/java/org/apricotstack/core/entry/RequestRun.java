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
 * One request on its way through its entry router.
 *
 * <p>The outcome that the caller is told rests on {@link #mayHaveRun}: it becomes true when an attempt is sent, and
 * false again only if the owner itself says that the attempt was not run. Whatever else ends an attempt, a lost
 * connection or a time limit, leaves it true, and the refusal then says {@code unknown}.
 */
final class RequestRun {

    /** Pause before an attempt in the same place, in milliseconds. */
    private static final long RETRY_BACK_OFF_MILLIS = 20;

    /** When to come back if nobody could take the request, in milliseconds. */
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
        coordinator.budget().earn(request.configuration().limits().retryShare());
        return coordinator
                .limits()
                .endBy(attempt(), request.deadline(), this::timeLimitRefusal)
                .doOnNext(this::countCompleted)
                .doOnError(error -> coordinator
                        .metrics()
                        .requestRefused(
                                RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR))));
    }

    /** Returns the refusal at the time limit, with what is then known of the outcome. */
    private Refusal timeLimitRefusal() {
        return new Refusal(RefusalReason.TIME_LIMIT, mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, 0, "");
    }

    /** Counts the end of a whole answer. */
    private void countCompleted(AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Completed) {
            coordinator.metrics().requestCompleted();
        }
    }

    /** Makes one attempt, and others after it where that is safe. */
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

    /** Gives the attempt to its owner and watches for silence. */
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

    /** What follows when nothing was heard from the owner: its connection is not to be used again. */
    private Flux<AttemptEvent> onSilence(HostId owner, long sentNanos) {
        return Flux.defer(() -> {
            coordinator.dispatcher().replaceConnection(owner, sentNanos);
            return Flux.error(Refusal.unknown(RefusalReason.OWNER_LOST).toException());
        });
    }

    /** Takes the load that an event carries. */
    private void recordLoad(AttemptEvent event) {
        if (event.load() != null) {
            coordinator.loads().record(event.load());
        }
    }

    /** Checks an event and turns it into what the caller gets. */
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

    /** Passes a signal on, or fails with the refusal that it carries. */
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

    /** Decides what follows a failed attempt. */
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

    /** Remembers what has just failed, so that the next attempt goes elsewhere if there is an elsewhere. */
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
     * Avoids an owner that was lost twice. The first loss may be the connection's alone: the next attempt takes a
     * new one to the same owner, which has the queue and the memory of the group.
     */
    private void avoidOnSecondLoss(HostId owner) {
        if (!hostsLostOnce.add(owner)) {
            avoidedHosts.add(owner);
        }
    }

    /** Tells whether another attempt can give the rest of the answer. */
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

    /** Returns the refusal as the caller is told, with the outcome of all attempts together. */
    private Refusal withTotalOutcome(Refusal refusal) {
        return refusal.withOutcome(mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }

    /** Returns the refusal for a request that no group can take now. */
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
