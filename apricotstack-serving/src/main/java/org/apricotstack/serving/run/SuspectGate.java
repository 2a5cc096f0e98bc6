package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.suspect.SharedTrait;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedTrait;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.OutcomeSubscriber;
import org.apricotstack.serving.observe.SuspectFields;
import reactor.core.publisher.Mono;

/**
 * Prevents requests and prompt parts that crash upstreams from crashing more of them; see {@link SuspectTable}.
 *
 * <p>All attempts that were interrupted at an upstream are evaluated together once it is known whether the upstream
 * crashed. Otherwise the first one would be evaluated without the others, which may be the cause.
 */
final class SuspectGate {

    /**
     * Time after a crash at which its cause is determined, in milliseconds; meanwhile the reports of other routers
     * arrive.
     */
    private static final long REVIEW_MILLIS = 45;

    /**
     * Time after which an upstream that still accepted a connection is checked again, in milliseconds: a crashing
     * process may lose its requests before it closes its listening socket.
     */
    private static final long CRASH_RECHECK_MILLIS = 100;

    /** Number of crashes with a request or part in flight from which on standby routers receive the reports too. */
    private static final int MIN_CRASHES_TO_BROADCAST = 3;

    private final ServingContext context;
    private final CrashCheck crashCheck;
    private final Consumer<RequestTrait> onSuspicionChanged;
    private final Map<UpstreamId, List<InterruptedAttempt>> waiting = new HashMap<>();

    /**
     * An interrupted attempt that waits for the crash check of its upstream.
     *
     * @param request digest of the request
     * @param parts prompt parts that the request may share with others
     * @param answerStarted whether a part of the response had arrived
     * @param then called with whether the upstream crashed
     */
    private record InterruptedAttempt(
            RequestDigest request, List<PromptPart> parts, boolean answerStarted, Consumer<Boolean> then) {}

    /** Creates a gate; the callback receives each request or part whose suspicion changes. */
    SuspectGate(ServingContext context, Consumer<RequestTrait> onSuspicionChanged) {
        this.context = context;
        this.crashCheck = new CrashCheck(context);
        this.onSuspicionChanged = onSuspicionChanged;
    }

    /** Returns whether a failure may mean that the upstream crashed rather than stopped as planned. */
    boolean mayHaveCrashed(UpstreamEntry upstream, FailureKind kind) {
        return crashCheck.mayHaveCrashed(upstream, kind);
    }

    /** Records that an upstream drained before it exited, so that its exit is no crash. */
    void stoppedAsPlanned(UpstreamId incarnation) {
        crashCheck.stoppedAsPlanned(incarnation);
    }

    /** Checks whether the upstream of an interrupted attempt crashed, then continues the attempt's run. */
    void attemptInterrupted(
            UpstreamEntry upstream, SuspectTracker tracker, boolean answerStarted, Consumer<Boolean> then) {
        InterruptedAttempt attempt = new InterruptedAttempt(tracker.digest(), tracker.parts(), answerStarted, then);
        List<InterruptedAttempt> others = waiting.get(upstream.id());
        if (others != null) {
            others.add(attempt);
            return;
        }
        waiting.put(upstream.id(), new ArrayList<>(List.of(attempt)));
        OutcomeSubscriber.subscribe(
                context.loop(),
                Mono.defer(() -> crashCheck.hasCrashed(upstream)),
                crashed -> crashChecked(upstream, crashed),
                error -> checkFailed(upstream));
    }

    /** Continues the runs of interrupted attempts whose upstream could not be checked. */
    private void checkFailed(UpstreamEntry upstream) {
        List<InterruptedAttempt> all = waiting.remove(upstream.id());
        if (all != null) {
            continueRuns(all, false);
        }
    }

    /** Continues the run of each attempt; one that fails does not keep the others waiting. */
    private void continueRuns(List<InterruptedAttempt> all, boolean crashed) {
        all.forEach(attempt -> context.loop().run(() -> attempt.then().accept(crashed)));
    }

    /** Evaluates all interrupted attempts of an upstream together, then continues their runs. */
    private void crashChecked(UpstreamEntry upstream, boolean crashed) {
        List<InterruptedAttempt> all = waiting.remove(upstream.id());
        if (crashed) {
            context.loop().run(() -> recordCrash(upstream.id(), all));
        } else {
            context.loop().schedule(CRASH_RECHECK_MILLIS, () -> recheckCrash(upstream, all));
        }
        continueRuns(all, crashed);
    }

    /** Evaluates attempts whose runs have continued already, if their upstream has crashed meanwhile. */
    private void recheckCrash(UpstreamEntry upstream, List<InterruptedAttempt> all) {
        if (crashCheck.isListedAndServing(upstream.id())) {
            OutcomeSubscriber.subscribe(
                    context.loop(),
                    crashCheck.isConnectionRefused(upstream).filter(crashed -> crashed),
                    crashed -> recordCrash(upstream.id(), all),
                    error -> {});
        }
    }

    /** Records the crash of an upstream and reports it to the other routers. */
    private void recordCrash(UpstreamId upstream, List<InterruptedAttempt> all) {
        List<RequestDigest> requests = new ArrayList<>();
        List<RequestDigest> answerStarted = new ArrayList<>();
        Set<PromptPart> parts = new LinkedHashSet<>();
        for (InterruptedAttempt attempt : all) {
            if (recordCrash(upstream, attempt.request(), attempt.answerStarted())) {
                (attempt.answerStarted() ? answerStarted : requests).add(attempt.request());
            }
            parts.addAll(attempt.parts());
        }
        parts.removeIf(part -> !recordCrash(upstream, part, false));
        CrashReport crash = new CrashReport(upstream, requests, answerStarted, List.copyOf(parts));
        if (crash.isEmpty()) {
            return;
        }
        boolean repeated = Stream.of(requests, answerStarted, parts)
                .flatMap(Collection::stream)
                .anyMatch(trait -> crashes(trait) > 1);
        context.suspectGossip().upstreamCrashed(crash, repeated);
        requests.forEach(this::reportSuspected);
        answerStarted.forEach(this::reportSuspected);
        parts.stream().filter(part -> crashes(part) > 1).forEach(this::reportSuspected);
    }

    /** Records the crash of an upstream with a request or part in flight; returns whether it is new. */
    private boolean recordCrash(UpstreamId upstream, RequestTrait trait, boolean answerStarted) {
        long now = context.nowMillis();
        ObservedCrash crash = new ObservedCrash(upstream, answerStarted, now);
        return context.suspects().upstreamCrashed(trait, crash, context.process(), now);
    }

    /** Returns the number of crashes with a request or part in flight. */
    private int crashes(RequestTrait trait) {
        SuspectedTrait suspect = context.suspects().find(trait, context.nowMillis());
        return suspect == null ? 0 : suspect.crashes().size();
    }

    /** Logs a suspicion after a crash that this router observed, and broadcasts it after several crashes. */
    private void reportSuspected(RequestTrait trait) {
        SuspectedTrait suspect = context.suspects().find(trait, context.nowMillis());
        context.log()
                .line("suspected")
                .put(SuspectFields.name(trait), trait.toString())
                .put("ends", suspect.crashes().size())
                .put("upstreams", suspect.upstreams())
                .put("since_millis", context.nowMillis() - suspect.sinceMillis())
                .put("served_before", suspect.servedBefore())
                .write();
        if (suspect.crashes().size() >= MIN_CRASHES_TO_BROADCAST) {
            context.suspectGossip().broadcast(suspect);
        }
        suspicionChanged(trait);
    }

    /**
     * Re-evaluates the attempts of requests whose suspicion changed, and again once the cause of the crash can be
     * determined. Attempts that share a prompt part go on until it is known as the cause.
     */
    void suspicionChanged(RequestTrait trait) {
        if (!trait.isShared()) {
            onSuspicionChanged.accept(trait);
        }
        if (context.suspects().mayBeCause(trait)) {
            context.loop().schedule(REVIEW_MILLIS, () -> review(trait));
        }
    }

    /** Determines the cause of the crashes, and re-evaluates the attempts in flight if they may be refused now. */
    private void review(RequestTrait trait) {
        long now = context.nowMillis();
        context.suspects().identifySharedCauses(now);
        if (trait.isShared()
                || trait instanceof RequestDigest request && context.suspects().isRefused(request, now)) {
            onSuspicionChanged.accept(trait);
        }
    }

    /** Decides whether a request may be sent. */
    SuspectDecision decide(RequestDigest request) {
        return context.suspects().decide(request, context.nowMillis());
    }

    /** Returns whether a request was found to be the cause of crashes. */
    boolean isRefused(RequestDigest request) {
        return context.suspects().isRefused(request, context.nowMillis());
    }

    /** Decides whether a request with some prompt parts may be sent. */
    SuspectDecision decideShared(List<PromptPart> parts) {
        return context.suspects().decideShared(parts, context.nowMillis());
    }

    /** Returns the part for which a request is refused, or {@code null}. */
    SharedTrait refusedTrait(List<PromptPart> parts) {
        return context.suspects().refusedTrait(parts, context.nowMillis());
    }

    /** Returns whether crashes count against a request or part. */
    boolean isSuspected(RequestTrait trait) {
        return context.suspects().isSuspected(trait);
    }

    /** Returns whether a suspected request may have this head hash. */
    boolean mayContain(long head) {
        return context.suspects().mayContain(head);
    }

    /** Returns whether nothing is suspected. */
    boolean isIdle() {
        return context.suspects().isEmpty();
    }

    /** Records that the trial of a suspected request or part started. */
    void trialStarted(RequestTrait trait, UpstreamId upstream, long limitMillis) {
        context.suspects().trialStarted(trait, context.process(), upstream, context.nowMillis() + limitMillis);
        context.suspectGossip().trialStarted(trait, upstream, limitMillis);
        context.log()
                .line("trial")
                .put(SuspectFields.name(trait), trait.toString())
                .put("upstream", upstream.value())
                .put("ends", crashes(trait))
                .write();
    }

    /** Records that the trial of a suspected request or part ended. */
    void trialEnded(RequestTrait trait) {
        context.suspects().trialEnded(trait, context.process(), context.nowMillis());
        context.suspectGossip().trialEnded(trait);
    }

    /** Records that an upstream completed a request, which clears it of suspicion. */
    void served(RequestDigest request) {
        if (context.suspects().requestServed(request)) {
            reportCleared(request);
        }
    }

    /** Records that an upstream served a request, which clears its prompt parts of suspicion. */
    void served(List<PromptPart> parts) {
        for (PromptPart part : parts) {
            if (context.suspects().sharedTraitServed(part, context.nowMillis())) {
                reportCleared(part);
            }
        }
    }

    /** Logs and reports that a request or part is no longer suspected. */
    private void reportCleared(RequestTrait trait) {
        context.suspectGossip().served(trait);
        context.log()
                .line("cleared")
                .put(SuspectFields.name(trait), trait.toString())
                .write();
    }
}
