package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.PermitWaitPolicy;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.RetryAfterJitter;
import org.apricotstack.serving.http.OutcomeSubscriber;
import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Makes the attempts of one request, one at a time: waits until it may be sent, chooses upstreams, reserves memory and
 * forwards it.
 */
final class RequestSender {

    private final RequestRun run;
    private final ServingContext context;
    private final UpstreamChooser chooser;
    private final UpstreamGates gates;
    private final RequestFacts facts;
    private final AttemptCount attempts;
    private final StreamProgress progress;
    private final SuspectTracker suspectTracker;
    private final RequestLog log;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private final ReplacementCheck replacements;
    private ByteBuf body;
    private Attempt current;
    private ReservedHelpers reserved;
    private boolean waitsForCapacity;
    private boolean waitsForTrial;
    private long longestMillis;

    /** Creates a sender that has no body yet. */
    RequestSender(
            RequestRun run,
            UpstreamChooser chooser,
            UpstreamGates gates,
            RequestFacts facts,
            AttemptCount attempts,
            StreamProgress progress,
            SuspectTracker suspectTracker,
            RequestLog log) {
        this.run = run;
        this.context = run.context();
        this.chooser = chooser;
        this.gates = gates;
        this.facts = facts;
        this.attempts = attempts;
        this.progress = progress;
        this.suspectTracker = suspectTracker;
        this.log = log;
        this.replacements =
                new ReplacementCheck(context, chooser, gates, facts, attempts, progress, suspectTracker, log, excluded);
    }

    /** Returns the check whether the attempt in flight may be given up. */
    ReplacementCheck replacements() {
        return replacements;
    }

    /** Sets the body, which the run holds until it ends. */
    void body(ByteBuf whole) {
        body = whole;
        suspectTracker.body(whole);
    }

    /** Returns the attempt in flight, or {@code null}. */
    Attempt current() {
        return current;
    }

    /** Excludes an upstream from further attempts. */
    void exclude(UpstreamId upstream) {
        excluded.add(upstream);
    }

    /** Sends the request to the next upstream. */
    void send() {
        long now = context.nowMillis();
        if (facts.remainingMillis(now) < AttemptCount.MIN_REMAINING_MILLIS) {
            run.endWithRefusal(RefusalCause.TIME_LIMIT);
            return;
        }
        if (rejectsAsStopping(null, now)) {
            return;
        }
        SuspectDecision decision = suspectTracker.decide();
        if (!decision.sends()) {
            holdOrRefuse(decision, now);
            return;
        }
        UpstreamChoice choice = replacements.choose(decision.avoided());
        if (choice == null) {
            waitOrRefuse(now);
            return;
        }
        if (choice.expensive() && !progress.answerStarted() && facts.mayWait(choice.predictedMillis(), now)) {
            waitForCapacity();
            return;
        }
        if (choice.refused() && !progress.answerStarted()) {
            run.endWithRefusal(RefusalCause.TOO_DEAR);
            return;
        }
        if (!rejectsAsStopping(choice, now)) {
            begin(choice, now);
        }
    }

    /**
     * Rejects the request if this router is stopping and could not complete it in time; a stream that has started goes
     * on. The choice is {@code null} while there is none.
     */
    private boolean rejectsAsStopping(UpstreamChoice choice, long now) {
        StopGate stop = context.stop();
        if (!stop.timeline().stopping() || progress.answerStarted()) {
            return false;
        }
        longestMillis = stop.duration(facts, choice, now).longestMillis();
        return rejectsAsStopping(now);
    }

    /** Returns whether this router still has time for the request, as far as is known before an upstream is chosen. */
    boolean mayComplete(long now) {
        StopGate stop = context.stop();
        return !stop.timeline().stopping() || stop.takes(facts, stop.duration(facts, null, now), now);
    }

    /** Rejects the request if the time became too short while it waited for reservations and a permit. */
    private boolean rejectsBeforeSending(UpstreamChoice choice, long now) {
        if (longestMillis == 0) {
            return rejectsAsStopping(choice, now);
        }
        return !progress.answerStarted() && rejectsAsStopping(now);
    }

    /** Rejects the request if the time that it needs is no longer left. */
    private boolean rejectsAsStopping(long now) {
        StopGate stop = context.stop();
        RequestDuration duration = facts.duration(longestMillis, now);
        if (stop.takes(facts, duration, now)) {
            return false;
        }
        stop.countRejected();
        log.rejectedAsStopping(duration, now);
        run.endWithRefusal(RefusalCause.STOPPING, stop.retryAfterMillis(duration, now));
        return true;
    }

    /** Starts an attempt at the chosen upstreams. */
    private void begin(UpstreamChoice choice, long now) {
        replacements.begin(choice, now);
        reserved = new ReservedHelpers(context, gates, choice);
        Attempt attempt = newAttempt(choice, now);
        current = attempt;
        if (choice.reserves()) {
            OutcomeSubscriber.subscribe(
                    context.loop(),
                    reserved.reserve(),
                    done -> reservationAnswered(attempt, done),
                    e -> reservationAnswered(attempt, false));
        } else {
            acquire(attempt);
        }
    }

    /**
     * Waits until the request's suspicion or the trial of an identical request is decided; refuses it if the decision
     * or its time requires that.
     */
    private void holdOrRefuse(SuspectDecision decision, long now) {
        if (decision.action() == SuspectDecision.Action.REFUSE) {
            RefusalCause refusal = suspectTracker.refusal();
            run.endWithRefusal(refusal == null ? RefusalCause.REPEAT_IN_TRIAL : refusal);
        } else if (decision.action() == SuspectDecision.Action.SETTLE || facts.mayWaitForTrial(now)) {
            if (!waitsForTrial) {
                waitsForTrial = true;
                log.waitingForTrial(suspectTracker.suspectedTrait(RefusalCause.REPEAT_IN_TRIAL), now);
            }
            retryLater(decision.holdMillis());
        } else {
            run.endWithRefusal(RefusalCause.REPEAT_IN_TRIAL);
        }
    }

    /** Waits for an upstream to accept requests or for free capacity; refuses the request if neither is in time. */
    private void waitOrRefuse(long now) {
        NextAvailability availability = chooser.nextAvailability(facts.service(), excluded);
        if (availability.millis() > 0) {
            waitUntilAvailable(availability, now);
            return;
        }
        if (mayWaitForCapacity(now)) {
            waitForCapacity();
            return;
        }
        run.endWithRefusal(gates.noUpstreamCause(facts.service()));
    }

    /**
     * Waits until the first upstream accepts requests if that is in time, and refuses the request otherwise. One
     * request may wait for each rate-limited upstream; more would wait for permits that others get.
     */
    private void waitUntilAvailable(NextAvailability availability, long now) {
        if (mayWaitUntilAvailable(availability, now)) {
            gates.limits().addWaiting(1);
            log.waiting(now);
            context.loop().schedule(availability.millis(), () -> {
                gates.limits().addWaiting(-1);
                sendAgain();
            });
        } else if (availability.needsPermit()) {
            run.endWithRefusal(availability.refusal(), availability.millis());
        } else {
            long caller = facts.request().id().hashCode();
            run.endWithRefusal(availability.refusal(), RetryAfterJitter.millis(availability.millis(), caller));
        }
    }

    /**
     * Returns whether waiting for an upstream is useful; a stream that has started may wait as long as its caller does.
     */
    private boolean mayWaitUntilAvailable(NextAvailability availability, long now) {
        if (progress.answerStarted()) {
            return now + availability.millis() < progress.lastMillis() + TimeoutPolicy.patienceMillis(facts.route());
        }
        return availability.needsPermit()
                && PermitWaitPolicy.isAllowed(
                        availability.millis(),
                        now - facts.arrivedMillis(),
                        facts.route().targetLatencyMillis(),
                        gates.limits().waiting(),
                        chooser.skippedUpstreams(facts.service())
                                .of(availability.cause())
                                .size());
    }

    /** Returns whether capacity may become free before the caller gives up; only while no event was forwarded. */
    private boolean mayWaitForCapacity(long now) {
        return facts.runsOnEngines()
                && context.upstreams().usable(facts.service()).stream()
                        .anyMatch(entry -> !excluded.contains(entry.id()))
                && facts.mayWait(0, now)
                && !progress.answerStarted();
    }

    /** Retries a little later, while the engines' capacity is worth more to other requests. */
    private void waitForCapacity() {
        if (!waitsForCapacity) {
            waitsForCapacity = true;
            log.waiting(context.nowMillis());
        }
        retryLater(TimeoutPolicy.RECHECK_MILLIS);
    }

    /** Schedules another try. */
    private void retryLater(long millis) {
        context.loop().schedule(millis, this::sendAgain);
    }

    /** Sends the request unless the run has ended or an attempt is in flight. */
    private void sendAgain() {
        if (!run.finished() && current == null) {
            send();
        }
    }

    /** Continues the attempt after the answers to its reservations. */
    private void reservationAnswered(Attempt attempt, boolean done) {
        if (attempt != current || attempt.finished()) {
            return;
        }
        if (done) {
            acquire(attempt);
        } else {
            reserved.refused().forEach(log::reservationRefused);
            reserved.refused().forEach(chooser::reservationRefused);
            reserved.refused().forEach(refused -> exclude(refused.helper()));
            attempt.failed(FailureKind.NOT_RESERVED);
        }
    }

    /** Requests a permit for the upstream, if it needs one, and continues the attempt. */
    private void acquire(Attempt attempt) {
        if (replacements.usePermit(attempt.upstream().id())) {
            permitAnswered(attempt, true);
        } else {
            gates.limits().acquire(attempt.upstream().id(), granted -> permitAnswered(attempt, granted));
        }
    }

    /** Sends the request if it may be sent now; otherwise chooses another upstream. */
    private void permitAnswered(Attempt attempt, boolean granted) {
        if (attempt != current || attempt.finished()) {
            return;
        }
        PassedOverCause cause = granted
                ? gates.unavailableCause(attempt.choice())
                : gates.limits().cause(attempt.upstream().id());
        if (cause != null) {
            log.passedOver(
                    attempt, cause, gates.blockedMillis(attempt.upstream().id()));
            cancel();
            send();
            return;
        }
        if (rejectsBeforeSending(attempt.choice(), context.nowMillis())) {
            return;
        }
        SuspectDecision decision = suspectTracker.decide();
        if (!decision.sends()) {
            cancel();
            holdOrRefuse(decision, context.nowMillis());
        } else if (takesRetryIfNeeded(attempt)) {
            forward(attempt, decision);
        } else {
            run.endWithRefusal(RefusalCause.RETRY_BUDGET);
        }
    }

    /**
     * Takes a retry from the budget if an earlier attempt may have reached an upstream, whether or not it was counted.
     */
    private boolean takesRetryIfNeeded(Attempt attempt) {
        if (attempts.arrivals() == 0) {
            return true;
        }
        boolean taken = replacements.takeHeldRetry()
                || context.budgets().of(facts.service()).trySpend(context.nowMillis());
        attempt.takesRetry(taken);
        return taken;
    }

    /** Creates an attempt of the route's kind. */
    private Attempt newAttempt(UpstreamChoice choice, long now) {
        return facts.route().kind() == RequestKind.STREAMING
                ? new StreamAttempt(run, choice, now, TimeoutPolicy.tokenGapLimitMillis(facts.route()))
                : new Attempt(run, choice, now);
    }

    /** Sends an attempt over a connection. */
    private void forward(Attempt attempt, SuspectDecision decision) {
        long now = context.nowMillis();
        suspectTracker.sent(decision, attempt.upstream().id(), facts.remainingMillis(now));
        attempts.send();
        reserved.use();
        UpstreamChoice choice = attempt.choice();
        HttpRequest head = context.protocol()
                .write(
                        facts.request(),
                        body.readableBytes(),
                        facts.forwarding(choice, reserved, progress.lastEventId(), now));
        log.sent(choice, chooser.skippedUpstreams(facts.service()), facts.duration(longestMillis, now), now);
        attempt.sent(
                context.connections()
                        .send(
                                choice.upstream().address(),
                                context.protocol(),
                                facts.echoedId(),
                                head,
                                body.retainedDuplicate(),
                                facts.needsNewConnection() || attempts.unmatched(),
                                attempt),
                facts.silenceMillis(choice, now));
    }

    /** Cancels the attempt in flight; its upstream detects the closed connection. */
    void cancel() {
        replacements.release();
        Attempt last = current;
        if (last != null) {
            last.cancel();
            end(last);
        }
    }

    /** Frees the resources of an attempt. */
    void end(Attempt attempt) {
        if (attempt == current) {
            current = null;
            suspectTracker.attemptEnded();
            chooser.end(attempt.choice());
            reserved.release();
        }
    }
}
