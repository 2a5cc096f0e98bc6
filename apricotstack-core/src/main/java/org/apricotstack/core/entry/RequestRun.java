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
    private static final long RETRY_PAUSE_MILLIS = 20;

    /** When to come back if nobody could take the request, in milliseconds. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;

    private final RequestCoordinator parts;
    private final AdmittedRequest request;
    private final MonotonicClock clock;
    private final long startedNanos;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private final Set<GroupId> avoidedGroups = new HashSet<>();
    private final Set<HostId> avoidedHosts = new HashSet<>();
    private final Set<HostId> lostOnce = new HashSet<>();
    private int attempts;
    private long offset;
    private boolean headPassed;
    private volatile boolean mayHaveRun;
    private boolean earlierAttemptMayHaveRun;
    private Refusal lastRefusal;

    /** Creates the run of a request. */
    RequestRun(RequestCoordinator parts, AdmittedRequest request) {
        this.parts = parts;
        this.request = request;
        this.clock = parts.clock();
        this.startedNanos = clock.nanos();
    }

    /** Returns the signals for the caller. */
    Flux<AttemptSignal> signals() {
        parts.budget().earn(request.configuration().limits().retryShare());
        return parts.limits()
                .endBy(attempt(), request.deadline(), this::timeIsOver)
                .doOnNext(this::countCompleted)
                .doOnError(error -> parts.events()
                        .requestRefused(
                                RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR))));
    }

    /** Returns the refusal at the time limit, with what is then known of the outcome. */
    private Refusal timeIsOver() {
        return new Refusal(RefusalReason.TIME_LIMIT, mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, 0, "");
    }

    /** Counts the end of a whole answer. */
    private void countCompleted(AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Completed) {
            parts.events().requestCompleted();
        }
    }

    /** Makes one attempt, and others after it where that is safe. */
    private Flux<AttemptSignal> attempt() {
        GroupFinder.Target found = parts.finder().choose(request, avoidedGroups, avoidedHosts);
        if (found == null) {
            return Flux.error(nowhere().toException());
        }
        parts.events().groupChosen(found.reason());
        attempts++;
        AttemptId id = new AttemptId(request.id(), attempts);
        StreamGuard guard = new StreamGuard(id, offset);
        mayHaveRun = true;
        return events(found, id)
                .concatMap(event -> check(guard, event))
                .concatWith(Mono.error(
                        () -> Refusal.unknown(RefusalReason.ANSWER_CUT).toException()))
                .takeUntil(signal -> signal instanceof AttemptSignal.Completed)
                .onErrorResume(error -> afterFailure(found, error));
    }

    /** Gives the attempt to its owner and watches for silence. */
    private Flux<AttemptEvent> events(GroupFinder.Target found, AttemptId id) {
        Duration silence = Duration.ofMillis(request.configuration().limits().silenceMillis());
        DispatchCommand command = new DispatchCommand(
                id,
                found.group().id(),
                request.work(),
                request.deadline().withMargin(clock),
                offset,
                Set.copyOf(excluded));
        Flux<AttemptEvent> events = parts.dispatcher().dispatch(found.owner(), command);
        return events.timeout(silence, silent(found.owner(), clock.nanos()), parts.timer())
                .doOnNext(event -> takeLoad(event));
    }

    /** What follows when nothing was heard from the owner: its connection is not to be used again. */
    private Flux<AttemptEvent> silent(HostId owner, long sentNanos) {
        return Flux.defer(() -> {
            parts.dispatcher().replaceConnection(owner, sentNanos);
            return Flux.error(Refusal.unknown(RefusalReason.OWNER_LOST).toException());
        });
    }

    /** Takes the load that an event carries. */
    private void takeLoad(AttemptEvent event) {
        if (event.load() != null) {
            parts.loads().record(event.load());
        }
    }

    /** Checks an event and turns it into what the caller gets. */
    private Flux<AttemptSignal> check(StreamGuard guard, AttemptEvent event) {
        StreamVerdict verdict = guard.check(event);
        if (verdict != StreamVerdict.PASS) {
            parts.events().eventDropped(verdict);
        }
        return switch (verdict) {
            case PASS -> pass(guard, event.signal());
            case REPEATED, LATE -> Flux.empty();
            case CROSSED -> Flux.error(
                    Refusal.unknown(RefusalReason.ANSWER_CROSSED).toException());
            default -> Flux.error(Refusal.unknown(RefusalReason.ANSWER_CUT).toException());
        };
    }

    /** Passes a signal on, or fails with the refusal that it carries. */
    private Flux<AttemptSignal> pass(StreamGuard guard, AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Refused refused) {
            if (refused.upstream() != null) {
                excluded.add(refused.upstream());
            }
            return Flux.error(refused.refusal().toException());
        }
        if (signal instanceof AttemptSignal.Chunk) {
            if (offset == 0) {
                long millis = (clock.nanos() - startedNanos) / Deadline.NANOS_PER_MILLI;
                parts.events().firstToken(request.lengthClass(), millis);
            }
            offset = guard.offset();
        }
        headPassed |= signal instanceof AttemptSignal.Head;
        boolean internal = signal instanceof AttemptSignal.Queued || signal instanceof AttemptSignal.Started;
        return internal ? Flux.empty() : Flux.just(signal);
    }

    /** Decides what follows a failed attempt. */
    private Flux<AttemptSignal> afterFailure(GroupFinder.Target found, Throwable error) {
        Refusal refusal = RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.OWNER_LOST));
        boolean notRun = refusal.outcome() == Outcome.NOT_RUN;
        lastRefusal = refusal;
        mayHaveRun = !notRun || earlierAttemptMayHaveRun;
        earlierAttemptMayHaveRun = mayHaveRun;
        RetryReason reason = RetryPolicy.reasonToRetry(refusal, request.work().repeatable(), isContinuable());
        if (reason == null || attempts >= request.configuration().limits().maxAttempts()) {
            return Flux.error(told(refusal).toException());
        }
        if (!parts.budget().trySpend()) {
            parts.events().retryBudgetExhausted();
            return Flux.error(told(refusal).toException());
        }
        avoid(found, reason);
        parts.events().attemptRetried(reason);
        return Mono.delay(Duration.ofMillis(RETRY_PAUSE_MILLIS), parts.timer()).thenMany(Flux.defer(this::attempt));
    }

    /** Remembers what has just failed, so that the next attempt goes elsewhere if there is an elsewhere. */
    private void avoid(GroupFinder.Target found, RetryReason reason) {
        switch (reason) {
            case OWNER_DID_NOT_TAKE -> avoidedHosts.add(found.owner());
            case OWNER_LOST -> avoidOnSecondLoss(found.owner());
            case OTHER_GROUP -> avoidedGroups.add(found.group().id());
            default -> {
                boolean groupIsSpent = excluded.size()
                        >= request.configuration().upstreams(found.group().id()).size();
                if (groupIsSpent || lastRefusal.reason() == RefusalReason.NO_GROUP) {
                    avoidedGroups.add(found.group().id());
                }
            }
        }
    }

    /**
     * Avoids an owner that was lost twice. The first loss may be the connection's alone: the next attempt takes a
     * new one to the same owner, which has the queue and the memory of the group.
     */
    private void avoidOnSecondLoss(HostId owner) {
        if (!lostOnce.add(owner)) {
            avoidedHosts.add(owner);
        }
    }

    /** Tells whether another attempt can give the rest of the answer. */
    private boolean isContinuable() {
        if (offset == 0 && !headPassed) {
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
    private Refusal told(Refusal refusal) {
        return refusal.withOutcome(mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }

    /** Returns the refusal for a request that no group can take now. */
    private Refusal nowhere() {
        if (lastRefusal != null) {
            return told(lastRefusal);
        }
        boolean holdable = request.configuration().groups(request.service()).stream()
                .anyMatch(group -> GroupFinder.canHold(request.configuration(), group, request));
        boolean exists = !request.configuration().groups(request.service()).isEmpty();
        if (exists && !holdable) {
            return Refusal.notRun(RefusalReason.PROMPT_TOO_LONG, 0);
        }
        return Refusal.notRun(RefusalReason.NO_GROUP, UNAVAILABLE_RETRY_MILLIS);
    }
}
