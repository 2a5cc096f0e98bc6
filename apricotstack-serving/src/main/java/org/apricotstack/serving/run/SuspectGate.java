package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedRequest;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * Prevents requests that crash upstreams from crashing more of them; see {@link SuspectTable}.
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

    /** Number of crashes with a request in flight from which on standby routers receive the reports too. */
    private static final int MIN_CRASHES_TO_BROADCAST = 3;

    private final ServingContext context;
    private final CrashCheck crashCheck;
    private final Consumer<RequestDigest> onSuspicionChanged;
    private final Map<UpstreamId, List<InterruptedAttempt>> waiting = new HashMap<>();

    /**
     * An interrupted attempt that waits for the crash check of its upstream.
     *
     * @param request digest of the request
     * @param answerStarted whether a part of the response had arrived
     * @param then called with whether the upstream crashed
     */
    private record InterruptedAttempt(RequestDigest request, boolean answerStarted, Consumer<Boolean> then) {}

    /** Creates a gate; the callback receives each request that becomes suspected or whose suspicion changes. */
    SuspectGate(ServingContext context, Consumer<RequestDigest> onSuspicionChanged) {
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
            UpstreamEntry upstream, RequestDigest request, boolean answerStarted, Consumer<Boolean> then) {
        InterruptedAttempt attempt = new InterruptedAttempt(request, answerStarted, then);
        List<InterruptedAttempt> others = waiting.get(upstream.id());
        if (others != null) {
            others.add(attempt);
            return;
        }
        waiting.put(upstream.id(), new ArrayList<>(List.of(attempt)));
        crashCheck.hasCrashed(upstream).subscribe(crashed -> crashChecked(upstream, crashed));
    }

    /** Evaluates all interrupted attempts of an upstream together, then continues their runs. */
    private void crashChecked(UpstreamEntry upstream, boolean crashed) {
        List<InterruptedAttempt> all = waiting.remove(upstream.id());
        if (crashed) {
            recordCrash(upstream.id(), all);
        } else {
            context.loop().schedule(CRASH_RECHECK_MILLIS, () -> recheckCrash(upstream, all));
        }
        all.forEach(attempt -> attempt.then().accept(crashed));
    }

    /** Evaluates attempts whose runs have continued already, if their upstream has crashed meanwhile. */
    private void recheckCrash(UpstreamEntry upstream, List<InterruptedAttempt> all) {
        if (crashCheck.isListedAndServing(upstream.id())) {
            crashCheck
                    .isConnectionRefused(upstream)
                    .filter(crashed -> crashed)
                    .subscribe(crashed -> recordCrash(upstream.id(), all));
        }
    }

    /** Records the crash of an upstream and reports it to the other routers. */
    private void recordCrash(UpstreamId upstream, List<InterruptedAttempt> all) {
        long now = context.nowMillis();
        List<RequestDigest> requests = new ArrayList<>();
        List<RequestDigest> answerStarted = new ArrayList<>();
        boolean repeated = false;
        for (InterruptedAttempt attempt : all) {
            ObservedCrash crash = new ObservedCrash(upstream, attempt.answerStarted(), now);
            if (context.suspects().upstreamCrashed(attempt.request(), crash, context.process(), now)) {
                (attempt.answerStarted() ? answerStarted : requests).add(attempt.request());
                repeated |= context.suspects()
                                .find(attempt.request(), now)
                                .crashes()
                                .size()
                        > 1;
            }
        }
        if (requests.isEmpty() && answerStarted.isEmpty()) {
            return;
        }
        context.suspectGossip().upstreamCrashed(upstream, requests, answerStarted, repeated);
        requests.forEach(this::reportSuspected);
        answerStarted.forEach(this::reportSuspected);
    }

    /**
     * Logs the suspicion of a request after a crash that this router observed, and broadcasts it after several crashes.
     */
    private void reportSuspected(RequestDigest request) {
        SuspectedRequest suspect = context.suspects().find(request, context.nowMillis());
        context.log()
                .line("suspected")
                .put("content", request.toString())
                .put("ends", suspect.crashes().size())
                .put("upstreams", suspect.upstreams())
                .put("since_millis", context.nowMillis() - suspect.sinceMillis())
                .write();
        if (suspect.crashes().size() >= MIN_CRASHES_TO_BROADCAST) {
            context.suspectGossip().broadcast(suspect);
        }
        suspicionChanged(request);
    }

    /**
     * Re-evaluates the attempts of a request whose suspicion changed, and again once the cause of the crash can be
     * determined.
     */
    void suspicionChanged(RequestDigest request) {
        onSuspicionChanged.accept(request);
        if (context.suspects().mayBeCause(request)) {
            context.loop().schedule(REVIEW_MILLIS, () -> {
                if (context.suspects().isRefused(request, context.nowMillis())) {
                    onSuspicionChanged.accept(request);
                }
            });
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

    /** Returns whether crashes count against a request. */
    boolean isSuspected(RequestDigest request) {
        return context.suspects().isSuspected(request);
    }

    /** Returns whether a suspected request may have this head hash. */
    boolean mayContain(long head) {
        return context.suspects().mayContain(head);
    }

    /** Returns whether no request is suspected. */
    boolean isIdle() {
        return context.suspects().isEmpty();
    }

    /** Records that the trial of a suspected request started. */
    void trialStarted(RequestDigest request, UpstreamId upstream, long limitMillis) {
        context.suspects().trialStarted(request, context.process(), upstream, context.nowMillis() + limitMillis);
        context.suspectGossip().trialStarted(request, upstream, limitMillis);
    }

    /** Records that the trial of a suspected request ended. */
    void trialEnded(RequestDigest request) {
        context.suspects().trialEnded(request, context.process(), context.nowMillis());
        context.suspectGossip().trialEnded(request);
    }

    /** Records that an upstream completed a request, which clears it of suspicion. */
    void served(RequestDigest request) {
        if (context.suspects().requestServed(request)) {
            context.suspectGossip().served(request);
            context.log().line("cleared").put("content", request.toString()).write();
        }
    }
}
