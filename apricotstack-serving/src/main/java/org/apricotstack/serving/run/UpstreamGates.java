package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.ResponseHead;
import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Processes the notices in answers of upstreams: answers to requests, status reports and reservations, of any status,
 * also late ones. Notices of another instance at an upstream's address are not passed to it.
 */
final class UpstreamGates {

    private final ServingContext context;
    private final LimitGate limits;
    private final DrainGate drains;
    private final BackOffGate backOffs;
    private final ColdGate cold;

    /** Creates gates without limits, drains or back-offs. */
    UpstreamGates(ServingContext context) {
        this.context = context;
        this.limits = new LimitGate(context);
        this.drains = new DrainGate(context);
        this.backOffs = new BackOffGate(context);
        this.cold = new ColdGate(context);
    }

    /** Returns the rate limits. */
    LimitGate limits() {
        return limits;
    }

    /** Returns the announced drains. */
    DrainGate drains() {
        return drains;
    }

    /** Returns the requested back-offs. */
    BackOffGate backOffs() {
        return backOffs;
    }

    /** Returns the cold upstreams. */
    ColdGate cold() {
        return cold;
    }

    /** Returns whether no rate limit or back-off is in force, and no upstream is cold. */
    boolean isIdle() {
        return cold.isIdle() && limits.isIdle() && backOffs.isIdle();
    }

    /** Returns why no request may be sent to an upstream now; {@code null} if one may, or a permit may be requested. */
    UpstreamRestriction restriction(UpstreamId upstream) {
        UpstreamEntry entry = context.upstreams().find(upstream);
        if (entry != null && context.upstreams().isEvacuated(entry)) {
            return UpstreamRestriction.untilFurtherNotice(PassedOverCause.EVACUATED);
        }
        if (context.upstreams().isDraining(upstream)) {
            return UpstreamRestriction.untilFurtherNotice(PassedOverCause.DRAINING);
        }
        return blocked(upstream);
    }

    /** Returns the upstreams of a service that get no requests only because their data centres are evacuated. */
    List<UpstreamEntry> evacuated(ServiceId service) {
        if (context.upstreams().evacuations().isEmpty()) {
            return List.of();
        }
        return context.upstreams().all().stream()
                .filter(entry ->
                        entry.service().equals(service) && context.upstreams().isEvacuated(entry))
                .filter(entry -> !context.upstreams().isDraining(entry.id()))
                .toList();
    }

    /** Returns why no upstream of a service can take a request that waits for no limit or back-off. */
    RefusalCause noUpstreamCause(ServiceId service) {
        if (!context.upstreams().usable(service).isEmpty()) {
            return RefusalCause.NO_ROOM;
        }
        if (!evacuated(service).isEmpty()) {
            return RefusalCause.UPSTREAMS_EVACUATED;
        }
        return context.upstreams().draining(service).isEmpty()
                ? RefusalCause.NO_UPSTREAM
                : RefusalCause.UPSTREAMS_DRAINING;
    }

    /**
     * Returns the restriction that a notice or the operators put on an upstream which the list of upstreams offers;
     * {@code null} if there is none.
     */
    UpstreamRestriction blocked(UpstreamId upstream) {
        return UpstreamRestriction.longest(
                UpstreamRestriction.ending(PassedOverCause.BACK_OFF, backOffs.blockedMillis(upstream)),
                UpstreamRestriction.ending(limits.cause(upstream), limits.blockedMillis(upstream)));
    }

    /**
     * Returns the time until a request may be sent to an upstream, in milliseconds; 0 if it may be sent or a permit may
     * be requested.
     */
    long blockedMillis(UpstreamId upstream) {
        UpstreamRestriction blocked = blocked(upstream);
        return blocked == null ? 0 : blocked.remainingMillis();
    }

    /**
     * Returns why the upstreams of a choice may no longer be used; {@code null} if they may. Rate limits are checked
     * elsewhere.
     */
    PassedOverCause unavailableCause(UpstreamChoice choice) {
        PassedOverCause cause = skipCause(choice.upstream());
        for (UpstreamEntry helper : choice.helpers()) {
            cause = cause == null ? skipCause(helper) : cause;
        }
        return cause;
    }

    /** Returns why an upstream may not be used now, apart from rate limits; {@code null} if it may. */
    private PassedOverCause skipCause(UpstreamEntry upstream) {
        if (context.upstreams().isEvacuated(upstream)) {
            return PassedOverCause.EVACUATED;
        }
        if (context.upstreams().isDraining(upstream.id())) {
            return PassedOverCause.DRAINING;
        }
        return backOffs.blockedMillis(upstream.id()) > 0 ? PassedOverCause.BACK_OFF : null;
    }

    /**
     * Processes the notice in an answer.
     *
     * @param upstream the upstream that answered
     * @param notice the notice
     * @param sentMillis when the request was sent, or an earlier time; {@link Long#MIN_VALUE} if unknown
     * @param requestId id of the request, or {@code null} if no caller's request was answered
     */
    void answered(UpstreamId upstream, UpstreamNotice notice, long sentMillis, String requestId) {
        limits.answered(upstream, notice.limit(), sentMillis, requestId);
        drains.answered(upstream, notice.drain(), sentMillis, requestId);
        backOffs.answered(upstream, notice.backOff(), requestId);
        cold.answered(upstream, notice.cold(), sentMillis);
    }

    /** Processes the notice in the head of a response, unless another instance at the address sent it. */
    void answered(UpstreamId upstream, ResponseHead answer, long sentMillis, String requestId) {
        if (!answer.wrongInstance()) {
            answered(upstream, answer.notice(), sentMillis, requestId);
        }
    }

    /** Removes the state of an incarnation that no longer runs. */
    void forget(UpstreamId upstream) {
        limits.forget(upstream);
        cold.forget(upstream);
    }

    /** Removes expired state; the argument says whether the platform's list of upstreams is up to date. */
    void expire(boolean platformAnswers) {
        cold.expire();
        limits.expire();
        drains.expire(platformAnswers);
        backOffs.expire();
    }
}
