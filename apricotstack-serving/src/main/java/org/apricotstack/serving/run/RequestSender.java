package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.Sets;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.PermitWaitPolicy;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.RetryAfterJitter;
import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;

/** Sends one request to one upstream at a time: waits until it may be sent, chooses, reserves and forwards. */
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
    private ByteBuf body;
    private Attempt current;
    private ReservedHelpers reserved;
    private boolean waitsForCapacity;
    private boolean waitsForTrial;

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
    }

    /** Notes the body, which the run holds until it is over. */
    void body(ByteBuf whole) {
        body = whole;
        suspectTracker.body(whole);
    }

    /** Returns the attempt that is under way, or {@code null}. */
    Attempt current() {
        return current;
    }

    /** Sends the request to an upstream no more. */
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
        SuspectDecision decision = suspectTracker.decide();
        if (!decision.sends()) {
            holdOrRefuse(decision, now);
            return;
        }
        UpstreamChoice choice = choose(decision.avoided());
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
        begin(choice, now);
    }

    /** Gives the request to the upstreams that were chosen. */
    private void begin(UpstreamChoice choice, long now) {
        chooser.begin(choice, facts.remainingMillis(now));
        reserved = new ReservedHelpers(context, gates, choice);
        Attempt attempt = newAttempt(choice, now);
        current = attempt;
        if (choice.reserves()) {
            reserved.reserve()
                    .subscribe(done -> reservationAnswered(attempt, done), e -> reservationAnswered(attempt, false));
        } else {
            acquire(attempt);
        }
    }

    /** Chooses the next upstream, if possible none of those that are to be avoided. */
    private UpstreamChoice choose(Set<UpstreamId> avoided) {
        UpstreamChoice choice = null;
        if (!avoided.isEmpty()) {
            choice = chooser.choose(facts, progress.answerStarted(), Sets.union(excluded, avoided));
        }
        return choice == null ? chooser.choose(facts, progress.answerStarted(), excluded) : choice;
    }

    /** Waits until more is known of the request, or it was tried elsewhere; ends as it is sent to no upstream. */
    private void holdOrRefuse(SuspectDecision decision, long now) {
        if (decision.action() == SuspectDecision.Action.REFUSE) {
            run.endWithRefusal(RefusalCause.ENDS_UPSTREAMS);
        } else if (decision.action() == SuspectDecision.Action.SETTLE || facts.mayWaitForTrial(now)) {
            if (!waitsForTrial) {
                waitsForTrial = true;
                log.waitingForTrial(suspectTracker.digest(), now);
            }
            retryLater(decision.holdMillis());
        } else {
            run.endWithRefusal(RefusalCause.REPEAT_IN_TRIAL);
        }
    }

    /** Waits for room if some may still be found, and ends otherwise. */
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
        run.endWithRefusal(noUpstreamCause());
    }

    /** Says why no upstream is left for the request. */
    private RefusalCause noUpstreamCause() {
        if (!context.upstreams().usable(facts.service()).isEmpty()) {
            return RefusalCause.NO_ROOM;
        }
        return context.upstreams().draining(facts.service()).isEmpty()
                ? RefusalCause.NO_UPSTREAM
                : RefusalCause.UPSTREAMS_DRAINING;
    }

    /**
     * Waits until an upstream opens if that is in time, and ends otherwise. One request waits for each upstream that is
     * closed by its limit: more than that would wait for permits that others get.
     */
    private void waitUntilAvailable(NextAvailability availability, long now) {
        if (mayWaitUntilAvailable(availability, now)) {
            gates.limits().addWaiting(1);
            log.waiting(now);
            context.loop().schedule(availability.millis(), () -> {
                gates.limits().addWaiting(-1);
                sendAgain();
            });
        } else if (availability.cause() == PassedOverCause.LIMIT) {
            run.endWithRefusal(RefusalCause.UPSTREAM_LIMITS, availability.millis());
        } else {
            long caller = facts.request().id().hashCode();
            run.endWithRefusal(RefusalCause.UPSTREAMS_BACK_OFF, RetryAfterJitter.millis(availability.millis(), caller));
        }
    }

    /** Tells whether it is of use to wait; a stream whose answer has begun waits as long as its caller may. */
    private boolean mayWaitUntilAvailable(NextAvailability availability, long now) {
        if (progress.answerStarted()) {
            return now + availability.millis() < progress.lastMillis() + TimeoutPolicy.patienceMillis(facts.route());
        }
        return availability.cause() == PassedOverCause.LIMIT
                && PermitWaitPolicy.isAllowed(
                        availability.millis(),
                        now - facts.arrivedMillis(),
                        facts.route().targetLatencyMillis(),
                        gates.limits().waiting(),
                        chooser.skippedUpstreams(facts.service()).rateLimited().size());
    }

    /** Tells whether room may still be found before the caller loses patience, as no event was passed on yet. */
    private boolean mayWaitForCapacity(long now) {
        return facts.runsOnEngines()
                && !context.upstreams().usable(facts.service()).isEmpty()
                && facts.mayWait(0, now)
                && !progress.answerStarted();
    }

    /** Tells whether a stream that waits for a busy engine would go on sooner at another one. */
    boolean wouldBeFasterElsewhere(Attempt attempt) {
        return chooser.fasterElsewhere(facts, attempt.choice(), progress.answerStarted(), excluded);
    }

    /** Looks again a little later, while engines are worth more to others. */
    private void waitForCapacity() {
        if (!waitsForCapacity) {
            waitsForCapacity = true;
            log.waiting(context.nowMillis());
        }
        retryLater(TimeoutPolicy.RECHECK_MILLIS);
    }

    /** Tries to send the request a little later. */
    private void retryLater(long millis) {
        context.loop().schedule(millis, this::sendAgain);
    }

    /** Sends the request unless it is over, or was sent meanwhile. */
    private void sendAgain() {
        if (!run.finished() && current == null) {
            send();
        }
    }

    /** Goes on once the memory is reserved. */
    private void reservationAnswered(Attempt attempt, boolean done) {
        if (attempt != current || attempt.finished()) {
            return;
        }
        if (done) {
            acquire(attempt);
        } else {
            attempt.failed(FailureKind.NOT_RESERVED);
        }
    }

    /** Goes on once the upstream's limit lets the request pass. */
    private void acquire(Attempt attempt) {
        gates.limits().acquire(attempt.upstream().id(), granted -> permitAnswered(attempt, granted));
    }

    /** Sends the request if it may be sent, and otherwise tries another upstream. */
    private void permitAnswered(Attempt attempt, boolean granted) {
        if (attempt != current || attempt.finished()) {
            return;
        }
        PassedOverCause cause = granted ? gates.whyNotSent(attempt.choice()) : PassedOverCause.LIMIT;
        if (cause != null) {
            log.passedOver(
                    attempt, cause, gates.blockedMillis(attempt.upstream().id()));
            cancel();
            send();
            return;
        }
        SuspectDecision decision = suspectTracker.decide();
        if (decision.sends()) {
            forward(attempt, decision);
        } else {
            cancel();
            holdOrRefuse(decision, context.nowMillis());
        }
    }

    /** Makes an attempt of the route's kind. */
    private Attempt newAttempt(UpstreamChoice choice, long now) {
        return facts.route().kind() == RequestKind.STREAMING
                ? new StreamAttempt(run, choice, now, TimeoutPolicy.tokenGapLimitMillis(facts.route()))
                : new Attempt(run, choice, now);
    }

    /** Hands an attempt to a connection. */
    private void forward(Attempt attempt, SuspectDecision decision) {
        long now = context.nowMillis();
        suspectTracker.sent(decision, attempt.upstream().id(), facts.remainingMillis(now));
        attempts.send();
        UpstreamChoice choice = attempt.choice();
        HttpRequest head = context.protocol()
                .write(
                        facts.request(),
                        body.readableBytes(),
                        facts.forwarding(choice, reserved, progress.lastEventId(), now));
        log.sent(choice, chooser.skippedUpstreams(facts.service()), now);
        attempt.sent(
                context.connections()
                        .send(
                                choice.upstream().address(),
                                context.protocol(),
                                facts.echoedId(),
                                head,
                                body.retainedDuplicate(),
                                !facts.route().idempotent(),
                                attempt),
                facts.silenceMillis(choice, now));
    }

    /** Ends the attempt that is under way; its upstream notices. */
    void cancel() {
        Attempt last = current;
        if (last != null) {
            last.cancel();
            end(last);
        }
    }

    /** Frees what an attempt used. */
    void end(Attempt attempt) {
        if (attempt == current) {
            current = null;
            suspectTracker.attemptEnded();
            chooser.end(attempt.choice());
            reserved.release();
        }
    }
}
