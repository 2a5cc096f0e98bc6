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
    private static final long ASK_AGAIN_MILLIS = 100;

    /** Ends under a request from which on routers that stand by are told of it too. */
    private static final int ENDS_TOLD_TO_ALL = 3;

    private final ServingContext context;
    private final EndCheck ends;
    private final Consumer<RequestDigest> whenSuspected;
    private final Map<UpstreamId, List<BrokenOff>> waiting = new HashMap<>();

    /**
     * An attempt that broke off and waits to know whether its upstream ended.
     *
     * @param request the request
     * @param begun whether some of its answer had come
     * @param then takes whether the upstream ended
     */
    private record BrokenOff(RequestDigest request, boolean begun, Consumer<Boolean> then) {}

    /** Creates a gate; the action takes each request that becomes suspected, or of which more is known. */
    SuspectGate(ServingContext context, Consumer<RequestDigest> whenSuspected) {
        this.context = context;
        this.ends = new EndCheck(context);
        this.whenSuspected = whenSuspected;
    }

    /** Tells whether a failure may mean that the upstream ended, and was not about to leave. */
    boolean mayHaveEnded(UpstreamEntry upstream, FailureKind kind) {
        return ends.mayHaveEnded(upstream, kind);
    }

    /** Notes that an upstream left as planned, so that the end of its process says nothing. */
    void leftAsPlanned(UpstreamId start) {
        ends.leftAsPlanned(start);
    }

    /** Finds out whether an upstream ended at which an attempt broke off, and goes on then. */
    void brokeOff(UpstreamEntry upstream, RequestDigest request, boolean begun, Consumer<Boolean> then) {
        BrokenOff one = new BrokenOff(request, begun, then);
        List<BrokenOff> others = waiting.get(upstream.id());
        if (others != null) {
            others.add(one);
            return;
        }
        waiting.put(upstream.id(), new ArrayList<>(List.of(one)));
        ends.hasEnded(upstream).subscribe(ended -> answered(upstream, ended));
    }

    /** Judges all attempts that broke off at an upstream, then lets each go on. */
    private void answered(UpstreamEntry upstream, boolean ended) {
        List<BrokenOff> all = waiting.remove(upstream.id());
        if (ended) {
            note(upstream.id(), all);
        } else {
            context.loop().schedule(ASK_AGAIN_MILLIS, () -> askAgain(upstream, all));
        }
        all.forEach(one -> one.then().accept(ended));
    }

    /** Judges attempts that went on already, if their upstream has ended meanwhile. */
    private void askAgain(UpstreamEntry upstream, List<BrokenOff> all) {
        if (ends.isListedToStay(upstream.id())) {
            ends.ask(upstream).filter(ended -> ended).subscribe(ended -> note(upstream.id(), all));
        }
    }

    /** Notes the end of an upstream, here and at the other routers. */
    private void note(UpstreamId upstream, List<BrokenOff> all) {
        long now = context.nowMillis();
        List<RequestDigest> requests = new ArrayList<>();
        List<RequestDigest> begun = new ArrayList<>();
        boolean repeated = false;
        for (BrokenOff one : all) {
            ObservedCrash end = new ObservedCrash(upstream, one.begun(), now);
            if (context.suspects().upstreamCrashed(one.request(), end, context.process(), now)) {
                (one.begun() ? begun : requests).add(one.request());
                repeated |=
                        context.suspects().find(one.request(), now).crashes().size() > 1;
            }
        }
        if (requests.isEmpty() && begun.isEmpty()) {
            return;
        }
        context.suspectGossip().upstreamCrashed(upstream, requests, begun, repeated);
        requests.forEach(this::suspected);
        begun.forEach(this::suspected);
    }

    /** Tells of an end under a request that this router saw. */
    private void suspected(RequestDigest request) {
        SuspectedRequest suspicion = context.suspects().find(request, context.nowMillis());
        context.log()
                .line("suspected")
                .put("content", request.toString())
                .put("ends", suspicion.crashes().size())
                .put("upstreams", suspicion.upstreams())
                .put("since_millis", context.nowMillis() - suspicion.sinceMillis())
                .write();
        if (suspicion.crashes().size() >= ENDS_TOLD_TO_ALL) {
            context.suspectGossip().broadcast(suspicion);
        }
        moreKnown(request);
    }

    /** Looks again at what is in flight of a request of which more is known, and once its cause can be known. */
    void moreKnown(RequestDigest request) {
        whenSuspected.accept(request);
        if (context.suspects().mayBeCause(request)) {
            context.loop().schedule(REVIEW_MILLIS, () -> {
                if (context.suspects().isRefused(request, context.nowMillis())) {
                    whenSuspected.accept(request);
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
    void trying(RequestDigest request, UpstreamId upstream, long limitMillis) {
        context.suspects().trialStarted(request, context.process(), upstream, context.nowMillis() + limitMillis);
        context.suspectGossip().trialStarted(request, upstream, limitMillis);
    }

    /** Notes that a suspected request is at no upstream any more. */
    void tried(RequestDigest request) {
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
