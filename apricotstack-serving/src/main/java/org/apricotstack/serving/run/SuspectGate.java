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
 * Keeps requests under which upstreams end from ending more of them; see {@link SuspectTable}.
 *
 * <p>All requests that broke off at an upstream are judged together, once it is known whether the upstream ended: the
 * first of them would otherwise be judged without knowing of the others.
 */
final class SuspectGate {

    /** Time after which the cause of an end is looked for, in milliseconds; others tell what they know meanwhile. */
    private static final long REVIEW_MILLIS = 45;

    /**
     * Time after which an upstream that still took a connection is asked once more, in milliseconds: a process that is
     * ending may lose its requests before it stops to listen.
     */
    private static final long CRASH_RECHECK_MILLIS = 100;

    /** Ends under a request from which on routers that stand by are told of it too. */
    private static final int BROADCAST_CRASHES = 3;

    private final ServingContext context;
    private final CrashCheck crashCheck;
    private final Consumer<RequestDigest> onSuspicionChanged;
    private final Map<UpstreamId, List<InterruptedAttempt>> waiting = new HashMap<>();

    /**
     * An attempt that broke off and waits to know whether its upstream ended.
     *
     * @param request the request
     * @param answerStarted whether some of its answer had come
     * @param then takes whether the upstream ended
     */
    private record InterruptedAttempt(RequestDigest request, boolean answerStarted, Consumer<Boolean> then) {}

    /** Creates a gate; the action takes each request that becomes suspected, or of which more is known. */
    SuspectGate(ServingContext context, Consumer<RequestDigest> onSuspicionChanged) {
        this.context = context;
        this.crashCheck = new CrashCheck(context);
        this.onSuspicionChanged = onSuspicionChanged;
    }

    /** Tells whether a failure may mean that the upstream ended, and was not about to leave. */
    boolean mayHaveCrashed(UpstreamEntry upstream, FailureKind kind) {
        return crashCheck.mayHaveCrashed(upstream, kind);
    }

    /** Notes that an upstream left as planned, so that the end of its process says nothing. */
    void stoppedAsPlanned(UpstreamId start) {
        crashCheck.stoppedAsPlanned(start);
    }

    /** Finds out whether an upstream ended at which an attempt broke off, and goes on then. */
    void attemptInterrupted(
            UpstreamEntry upstream, RequestDigest request, boolean answerStarted, Consumer<Boolean> then) {
        InterruptedAttempt one = new InterruptedAttempt(request, answerStarted, then);
        List<InterruptedAttempt> others = waiting.get(upstream.id());
        if (others != null) {
            others.add(one);
            return;
        }
        waiting.put(upstream.id(), new ArrayList<>(List.of(one)));
        crashCheck.hasCrashed(upstream).subscribe(crashed -> crashChecked(upstream, crashed));
    }

    /** Judges all attempts that broke off at an upstream, then lets each go on. */
    private void crashChecked(UpstreamEntry upstream, boolean crashed) {
        List<InterruptedAttempt> all = waiting.remove(upstream.id());
        if (crashed) {
            recordCrash(upstream.id(), all);
        } else {
            context.loop().schedule(CRASH_RECHECK_MILLIS, () -> recheckCrash(upstream, all));
        }
        all.forEach(one -> one.then().accept(crashed));
    }

    /** Judges attempts that went on already, if their upstream has ended meanwhile. */
    private void recheckCrash(UpstreamEntry upstream, List<InterruptedAttempt> all) {
        if (crashCheck.isListedAndServing(upstream.id())) {
            crashCheck
                    .isConnectionRefused(upstream)
                    .filter(crashed -> crashed)
                    .subscribe(crashed -> recordCrash(upstream.id(), all));
        }
    }

    /** Notes the end of an upstream, here and at the other routers. */
    private void recordCrash(UpstreamId upstream, List<InterruptedAttempt> all) {
        long now = context.nowMillis();
        List<RequestDigest> requests = new ArrayList<>();
        List<RequestDigest> answerStarted = new ArrayList<>();
        boolean repeated = false;
        for (InterruptedAttempt one : all) {
            ObservedCrash end = new ObservedCrash(upstream, one.answerStarted(), now);
            if (context.suspects().upstreamCrashed(one.request(), end, context.process(), now)) {
                (one.answerStarted() ? answerStarted : requests).add(one.request());
                repeated |=
                        context.suspects().find(one.request(), now).crashes().size() > 1;
            }
        }
        if (requests.isEmpty() && answerStarted.isEmpty()) {
            return;
        }
        context.suspectGossip().upstreamCrashed(upstream, requests, answerStarted, repeated);
        requests.forEach(this::reportSuspected);
        answerStarted.forEach(this::reportSuspected);
    }

    /** Tells of an end under a request that this router saw. */
    private void reportSuspected(RequestDigest request) {
        SuspectedRequest suspect = context.suspects().find(request, context.nowMillis());
        context.log()
                .line("suspected")
                .put("content", request.toString())
                .put("ends", suspect.crashes().size())
                .put("upstreams", suspect.upstreams())
                .put("since_millis", context.nowMillis() - suspect.sinceMillis())
                .write();
        if (suspect.crashes().size() >= BROADCAST_CRASHES) {
            context.suspectGossip().broadcast(suspect);
        }
        suspicionChanged(request);
    }

    /** Looks again at what is in flight of a request of which more is known, and once its cause can be known. */
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

    /** Decides what is done with a request that is about to be sent. */
    SuspectDecision decide(RequestDigest request) {
        return context.suspects().decide(request, context.nowMillis());
    }

    /** Tells whether a request is the cause of its upstreams' ends. */
    boolean isRefused(RequestDigest request) {
        return context.suspects().isRefused(request, context.nowMillis());
    }

    /** Tells whether the ends of upstreams under a request count against it. */
    boolean isSuspected(RequestDigest request) {
        return context.suspects().isSuspected(request);
    }

    /** Tells whether any request may be suspected whose head has a hash. */
    boolean mayContain(long head) {
        return context.suspects().mayContain(head);
    }

    /** Tells whether no request is suspected. */
    boolean isIdle() {
        return context.suspects().isEmpty();
    }

    /** Notes that a suspected request is sent. */
    void trialStarted(RequestDigest request, UpstreamId upstream, long limitMillis) {
        context.suspects().trialStarted(request, context.process(), upstream, context.nowMillis() + limitMillis);
        context.suspectGossip().trialStarted(request, upstream, limitMillis);
    }

    /** Notes that a suspected request is at no upstream any more. */
    void trialEnded(RequestDigest request) {
        context.suspects().trialEnded(request, context.process(), context.nowMillis());
        context.suspectGossip().trialEnded(request);
    }

    /** Notes that an upstream ran a request to its end. */
    void served(RequestDigest request) {
        if (context.suspects().requestServed(request)) {
            context.suspectGossip().served(request);
            context.log().line("cleared").put("content", request.toString()).write();
        }
    }
}
