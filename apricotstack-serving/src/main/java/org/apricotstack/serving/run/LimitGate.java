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
import org.apricotstack.serving.observe.PassedOverCause;

/** Keeps the requests to upstreams within the rate limits that their answers advertise. */
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
     * Processes the rate limit that an answer advertises.
     *
     * @param upstream the upstream that answered
     * @param advertised the advertised limit
     * @param sentMillis when the request was sent, or an earlier time
     * @param requestId id of the request, or {@code null} if no caller's request was answered
     */
    void answered(UpstreamId upstream, AdvertisedLimit advertised, long sentMillis, String requestId) {
        if (advertised.kind() == AdvertisedLimit.Kind.ABSENT
                && context.limits().advertised().find(upstream) == null) {
            return;
        }
        long now = context.nowMillis();
        RateLimit before = context.limits().advertised().find(upstream);
        LimitChange change = context.limits().advertised().answerReceived(upstream, advertised, sentMillis, now);
        if (advertised.kind() == AdvertisedLimit.Kind.UNREADABLE) {
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
                : context.limits().advertised().find(upstream);
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

    /** Starts a log line, with the request id if there is one. */
    private DecisionLog.Line line(String event, String requestId) {
        return requestId == null ? context.log().line(event) : context.log().request(event, requestId);
    }

    /** Counts a malformed limit, and logs the first one of each upstream. */
    private void noteUnreadable(UpstreamId upstream, String requestId) {
        context.metrics().limitUnreadable();
        if (unreadable.add(upstream)) {
            line("limit_unreadable", requestId)
                    .put("upstream", upstream.value())
                    .write();
        }
    }

    /** Returns whether requests to an upstream need a permit. */
    boolean isLimited(UpstreamId upstream) {
        return admission.isLimited(upstream);
    }

    /** Returns whether no upstream has a limit. */
    boolean isIdle() {
        return context.limits().isEmpty();
    }

    /**
     * Returns the time until a request may be sent to an upstream, in milliseconds; 0 if it may be sent or a permit may
     * be requested.
     */
    long blockedMillis(UpstreamId upstream) {
        long blockedMillis = admission.blockedMillis(upstream);
        boolean becomesUnlimited =
                blockedMillis > 0 && context.limits().advertised().find(upstream) == null;
        return becomesUnlimited
                ? Math.min(blockedMillis, Math.max(1, context.limits().remainingColdMillis(upstream)))
                : blockedMillis;
    }

    /** Returns why an upstream without a permit is skipped. */
    PassedOverCause cause(UpstreamId upstream) {
        return context.limits().isCold(upstream) ? PassedOverCause.COLD : PassedOverCause.LIMIT;
    }

    /** Acquires a permit for one request to an upstream; the consumer receives whether it was granted. */
    void acquire(UpstreamId upstream, Consumer<Boolean> then) {
        admission.acquire(upstream, then);
    }

    /** Adjusts the number of requests that wait for a limit; negative when they stop waiting. */
    void addWaiting(int requests) {
        waiting += requests;
    }

    /** Returns how many requests wait for a limit. */
    int waiting() {
        return waiting;
    }

    /** Charges a request that is sent without a permit because it cannot be skipped. */
    void charge(UpstreamId upstream) {
        admission.charge(upstream);
    }

    /** Removes the state of an incarnation that no longer runs. */
    void forget(UpstreamId upstream) {
        unreadable.remove(upstream);
        context.limits().advertised().forget(upstream);
    }

    /**
     * Removes the state of upstreams that are no longer limited or listed, and updates the metrics of the limits in
     * force.
     */
    void expire() {
        context.limits().advertised().expire(id -> context.upstreams().isListed(id), context.nowMillis());
        context.metrics().limits(context.limits().advertised().all());
        admission.expire();
        if (!unreadable.isEmpty()) {
            unreadable.removeIf(upstream -> !context.upstreams().isListed(upstream));
        }
    }
}
