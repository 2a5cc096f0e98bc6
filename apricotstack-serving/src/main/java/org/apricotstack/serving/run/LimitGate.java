package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.AdvertisedLimit;
import org.apricotstack.core.ratelimit.LimitAdmission;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.serving.observe.DecisionLog;

/** Keeps what reaches upstreams within the rate limits that they name in their answers. */
final class LimitGate {

    private final ServingContext context;
    private final LimitAdmission admission;
    private final Set<UpstreamId> unreadable = new HashSet<>();
    private int waiting;

    /** Creates a gate. */
    LimitGate(ServingContext context) {
        this.context = context;
        this.admission = new LimitAdmission(context.limits(), context.limitGossip(), context::nowMillis);
    }

    /**
     * Takes in what an answer says.
     *
     * @param upstream the upstream that answered
     * @param stated what the answer says
     * @param sentMillis when the request was sent, or before
     * @param requestId the request, or {@code null} if it is no caller's
     */
    void answered(UpstreamId upstream, AdvertisedLimit stated, long sentMillis, String requestId) {
        if (stated.kind() == AdvertisedLimit.Kind.ABSENT && !admission.isLimited(upstream)) {
            return;
        }
        long now = context.nowMillis();
        RateLimit before = context.limits().find(upstream);
        LimitChange change = context.limits().answerReceived(upstream, stated, sentMillis, now);
        if (stated.kind() == AdvertisedLimit.Kind.UNREADABLE) {
            noteUnreadable(upstream, requestId);
        } else {
            unreadable.remove(upstream);
        }
        if (change == LimitChange.NONE) {
            return;
        }
        boolean ended = change == LimitChange.ENDED;
        RateLimit limit = ended
                ? new RateLimit(before.perSecond(), sentMillis)
                : context.limits().find(upstream);
        context.metrics().limitChanged(change);
        line("limit_" + change.code(), requestId)
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("per_second", Double.toString(limit.perSecond()))
                .put("source", "answer")
                .put("keeper", ended ? null : context.limitGossip().permitIssuerOf(upstream))
                .write();
        context.limitGossip().limitChanged(upstream, change, limit);
    }

    /** Begins a line, on a request if one is known. */
    private DecisionLog.Line line(String event, String requestId) {
        return requestId == null ? context.log().line(event) : context.log().request(event, requestId);
    }

    /** Counts a value that is no limit, and writes the first one of an upstream down. */
    private void noteUnreadable(UpstreamId upstream, String requestId) {
        context.metrics().limitUnreadable();
        if (unreadable.add(upstream)) {
            line("limit_unreadable", requestId)
                    .put("upstream", upstream.value())
                    .write();
        }
    }

    /** Tells whether requests to an upstream need a permit. */
    boolean isLimited(UpstreamId upstream) {
        return admission.isLimited(upstream);
    }

    /** Tells whether no upstream is limited. */
    boolean isIdle() {
        return context.limits().isEmpty();
    }

    /** Returns the time until a request to an upstream may pass, in milliseconds; 0 if it may pass or be asked for. */
    long blockedMillis(UpstreamId upstream) {
        return admission.opensMillis(upstream);
    }

    /** Lets one request to an upstream pass, or not. */
    void acquire(UpstreamId upstream, Consumer<Boolean> then) {
        admission.acquire(upstream, then);
    }

    /** Notes that requests begin, or with a negative number end, to wait until a limit lets them pass. */
    void addWaiting(int requests) {
        waiting += requests;
    }

    /** Returns how many requests wait until a limit lets them pass. */
    int waiting() {
        return waiting;
    }

    /** Counts a request that is sent without a permit, as it cannot be left out. */
    void charge(UpstreamId upstream) {
        admission.charge(upstream);
    }

    /** Forgets a start of an upstream that is over. */
    void forget(UpstreamId upstream) {
        unreadable.remove(upstream);
        context.limits().forget(upstream);
    }

    /** Forgets what concerns upstreams that are not limited any more, or gone, and shows the limits that hold. */
    void expire() {
        context.limits().expire(id -> context.upstreams().isListed(id), context.nowMillis());
        context.metrics().limits(context.limits().all());
        admission.expire();
        if (!unreadable.isEmpty()) {
            unreadable.removeIf(upstream -> !context.upstreams().isListed(upstream));
        }
    }
}
