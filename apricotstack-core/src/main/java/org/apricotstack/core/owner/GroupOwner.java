package org.apricotstack.core.owner;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.GroupScheduler;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.dispatch.SchedulerOptions;
import org.apricotstack.core.dispatch.UpstreamStatus;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.routing.GroupLoad;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.stream.StreamVerdict;
import org.apricotstack.core.time.MonotonicClock;
import org.apricotstack.core.time.StallDetector;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * Runs the attempts of one group: queues them, dispatches them to upstreams, supervises their streams and releases
 * engine memory.
 *
 * <p>Decisions are made under the lock of the scheduler; nothing is sent while it is held.
 */
public final class GroupOwner {

    /** Retries of releasing the memory of an ended attempt; after these, {@link UpstreamReconciler} releases it. */
    private static final int RELEASE_RETRIES = 5;

    /** Reasons that do not count as failures of the upstream. */
    private static final Set<RefusalReason> NOT_UPSTREAM_FAULTS =
            EnumSet.of(RefusalReason.TIME_LIMIT, RefusalReason.UPSTREAM_LEAVING, RefusalReason.UPSTREAM_REFUSED);

    private static final Duration RELEASE_BACK_OFF = Duration.ofMillis(200);

    private final GroupScheduler scheduler;
    private final UpstreamGateway gateway;
    private final OwnerMetrics metrics;
    private final MonotonicClock clock;
    private final Scheduler timer;
    private final StallDetector stalls;
    private final Map<AttemptId, OwnedAttempt> attempts = new ConcurrentHashMap<>();
    private volatile long silenceMillis;

    /**
     * Creates the owner of a group.
     *
     * @param scheduler makes the decisions; used by this object only
     * @param gateway the upstreams
     * @param metrics counters
     * @param clock the local clock
     * @param timer runs retries of releases
     */
    public GroupOwner(
            GroupScheduler scheduler,
            UpstreamGateway gateway,
            OwnerMetrics metrics,
            MonotonicClock clock,
            Scheduler timer) {
        this.scheduler = scheduler;
        this.gateway = gateway;
        this.metrics = metrics;
        this.clock = clock;
        this.timer = timer;
        this.stalls = new StallDetector(clock.millis());
    }

    /**
     * Applies newly published facts.
     *
     * @param options limits, queue order and upstream choice
     * @param upstreams the upstreams of the group
     * @param leaving upstreams that get no new work
     */
    public void update(SchedulerOptions options, List<Upstream> upstreams, Set<UpstreamId> leaving) {
        silenceMillis = options.limits().silenceMillis();
        synchronized (scheduler) {
            scheduler.update(options, upstreams, leaving);
        }
        startReadyAttempts();
    }

    /**
     * Runs an attempt.
     *
     * @param queued the attempt
     * @return its events, from {@code Queued} to the last; cancelling the subscription cancels the attempt
     */
    public Flux<AttemptEvent> dispatch(QueuedAttempt queued) {
        return Flux.defer(() -> accept(queued));
    }

    /** Queues an attempt or refuses it. */
    private Flux<AttemptEvent> accept(QueuedAttempt queued) {
        AttemptId id = queued.command().attempt();
        OwnedAttempt attempt = new OwnedAttempt(queued, clock);
        Refusal refusal;
        synchronized (scheduler) {
            refusal = scheduler.offer(queued);
            if (refusal == null) {
                attempts.put(id, attempt);
            }
        }
        if (refusal != null) {
            metrics.attemptRefused(refusal.reason());
            return Flux.just(AttemptEvent.refused(id, refusal, null).withLoad(load()));
        }
        attempt.emit(new AttemptEvent(id, load(), new AttemptSignal.Queued()));
        return attempt.flux().doOnSubscribe(s -> startReadyAttempts()).doOnCancel(() -> abandon(attempt));
    }

    /** Starts the attempts that the scheduler releases. */
    private void startReadyAttempts() {
        List<Assignment> assignments;
        synchronized (scheduler) {
            assignments = scheduler.startReady();
        }
        assignments.forEach(this::start);
    }

    /** Dispatches an attempt to its upstreams. */
    private void start(Assignment assignment) {
        DispatchCommand command = assignment.queued().command();
        OwnedAttempt attempt = attempts.get(command.attempt());
        long remainingMillis = command.deadline().remainingMillis(clock);
        if (attempt == null || remainingMillis <= 0) {
            // The process may have been paused between queueing and this point; an expired attempt is not sent.
            finish(attempt, command.attempt(), Refusal.notRun(RefusalReason.TIME_LIMIT, 0), null);
            return;
        }
        Upstream lead = assignment.upstreams().get(0);
        attempt.started(assignment, clock);
        attempt.emit(new AttemptEvent(command.attempt(), load(), new AttemptSignal.Started(lead.id())));
        Disposable subscription = gateway.run(assignment, remainingMillis)
                .subscribe(
                        event -> handleEvent(attempt, event),
                        error -> fail(attempt, error),
                        () -> fail(
                                attempt,
                                Refusal.unknown(RefusalReason.ANSWER_CUT).toException()));
        attempt.setSubscription(subscription);
    }

    /** Checks an event and forwards it. */
    private void handleEvent(OwnedAttempt attempt, AttemptEvent event) {
        attempt.eventReceived(clock);
        if (attempt.isEnded()) {
            return;
        }
        switch (attempt.guard().check(event)) {
            case PASS -> forward(attempt, event);
            case REPEATED -> metrics.ownerEventDropped(StreamVerdict.REPEATED);
            case LATE -> metrics.ownerEventDropped(StreamVerdict.LATE);
            case CROSSED -> {
                metrics.ownerEventDropped(StreamVerdict.CROSSED);
                fail(attempt, Refusal.unknown(RefusalReason.ANSWER_CROSSED).toException());
            }
            default -> {
                metrics.ownerEventDropped(StreamVerdict.CUT);
                fail(attempt, Refusal.unknown(RefusalReason.ANSWER_CUT).toException());
            }
        }
    }

    /** Forwards a checked event and updates the scheduler. */
    private void forward(OwnedAttempt attempt, AttemptEvent event) {
        AttemptId id = attempt.id();
        AttemptSignal signal = event.signal();
        if (signal instanceof AttemptSignal.Refused refused) {
            fail(attempt, refused.refusal().toException());
            return;
        }
        if (signal instanceof AttemptSignal.Completed completed) {
            if (!attempt.markEnded()) {
                return;
            }
            synchronized (scheduler) {
                scheduler.completed(
                        id, completed.total() - attempt.queued().command().resumeOffset());
            }
            attempts.remove(id);
            release(attempt, attempt.helpers());
            metrics.promptServed(completed.promptTokens(), completed.cachedTokens());
            attempt.end(event.withLoad(load()));
            startReadyAttempts();
            return;
        }
        boolean first = signal instanceof AttemptSignal.Chunk && attempt.markFirstChunk();
        if (first) {
            synchronized (scheduler) {
                scheduler.firstToken(id);
            }
            startReadyAttempts();
        }
        attempt.emit(first ? event.withLoad(load()) : event);
    }

    /** Ends an attempt whose upstream failed. */
    private void fail(OwnedAttempt attempt, Throwable error) {
        Refusal refusal = RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.UPSTREAM_FAILED));
        UpstreamId upstream = attempt.lead() == null ? null : attempt.lead().id();
        if (refusal.reason() == RefusalReason.UPSTREAM_LEAVING && upstream != null) {
            synchronized (scheduler) {
                scheduler.markLeaving(upstream);
            }
        }
        finish(attempt, attempt.id(), refusal, upstream);
    }

    /** Ends an attempt without a complete answer, and releases the memory that engines may hold for it. */
    private void finish(OwnedAttempt attempt, AttemptId id, Refusal refusal, UpstreamId upstream) {
        boolean upstreamFault = upstream != null && !NOT_UPSTREAM_FAULTS.contains(refusal.reason());
        synchronized (scheduler) {
            scheduler.cancelWaiting(id);
            scheduler.failed(id, upstreamFault);
        }
        attempts.remove(id);
        if (attempt != null && attempt.markEnded()) {
            metrics.attemptRefused(refusal.reason());
            attempt.cancelUpstream();
            release(attempt, attempt.upstreams());
            attempt.end(AttemptEvent.refused(id, refusal, upstream).withLoad(load()));
        }
        startReadyAttempts();
    }

    /** Ends an attempt that its entry router has cancelled. */
    private void abandon(OwnedAttempt attempt) {
        finish(attempt, attempt.id(), Refusal.unknown(RefusalReason.OWNER_LOST), null);
    }

    /**
     * Tells engines to release the memory of an ended attempt. This needs a separate call, because the attempt's own
     * connection may be silent.
     */
    private void release(OwnedAttempt attempt, List<Upstream> engines) {
        for (Upstream upstream : engines) {
            if (upstream.memoryTokens() > 0) {
                gateway.release(upstream, attempt.id())
                        .retryWhen(Retry.backoff(RELEASE_RETRIES, RELEASE_BACK_OFF)
                                .jitter(0)
                                .scheduler(timer))
                        .subscribe(done -> {}, error -> {});
            }
        }
    }

    /**
     * Enforces time limits and ends silent streams; to be called every few tens of milliseconds. After a stall of this
     * process the silence of upstreams is counted anew, as their events may wait to be read.
     */
    public void tick() {
        if (stalls.running(clock.millis()) > 0) {
            attempts.values().forEach(attempt -> attempt.eventReceived(clock));
        }
        List<QueuedAttempt> expired;
        synchronized (scheduler) {
            expired = scheduler.expire();
        }
        for (QueuedAttempt queued : expired) {
            AttemptId id = queued.command().attempt();
            boolean deadlinePassed = queued.command().deadline().hasPassed(clock);
            RefusalReason reason = deadlinePassed ? RefusalReason.TIME_LIMIT : RefusalReason.CANNOT_FINISH_IN_TIME;
            finish(attempts.get(id), id, Refusal.notRun(reason, load().shortDelayMillis()), null);
        }
        for (OwnedAttempt attempt : attempts.values()) {
            checkRunning(attempt);
        }
        startReadyAttempts();
    }

    /** Ends a running attempt that is past its time limit or whose upstream is silent. */
    private void checkRunning(OwnedAttempt attempt) {
        if (!attempt.isStarted()) {
            return;
        }
        if (attempt.queued().command().deadline().hasPassed(clock)) {
            finish(
                    attempt,
                    attempt.id(),
                    Refusal.unknown(RefusalReason.TIME_LIMIT),
                    attempt.lead().id());
        } else if (attempt.silentMillis(clock) > silenceMillis + attempt.uploadMillis()) {
            fail(attempt, Refusal.unknown(RefusalReason.UPSTREAM_SILENT).toException());
        }
    }

    /** Sends a heartbeat on each stream. */
    public void heartbeat() {
        for (OwnedAttempt attempt : attempts.values()) {
            attempt.emit(new AttemptEvent(attempt.id(), new AttemptSignal.Heartbeat()));
        }
    }

    /**
     * Returns the load of the group.
     *
     * @return the load
     */
    public GroupLoad load() {
        synchronized (scheduler) {
            return scheduler.load();
        }
    }

    /**
     * Returns the status for operators.
     *
     * @return queue, running attempts and upstreams
     */
    public OwnerStatus status() {
        synchronized (scheduler) {
            List<UpstreamStatus> upstreams = scheduler.status();
            return new OwnerStatus(scheduler.load(), scheduler.waiting(), scheduler.running(), upstreams);
        }
    }

    /**
     * Returns how many attempts wait or run.
     *
     * @return the number
     */
    public int active() {
        return attempts.size();
    }

    /**
     * Queue, running attempts and upstreams of a group.
     *
     * @param load the load as reported to entry routers
     * @param waiting number of attempts in the queue
     * @param running number of running attempts
     * @param upstreams the upstreams
     */
    public record OwnerStatus(GroupLoad load, int waiting, int running, List<UpstreamStatus> upstreams) {}
}
