package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.PassedOverCause;

/**
 * The one place that takes in all that answers of upstreams say of the upstreams themselves: answers to requests,
 * reports and orders, of any status, also late ones. What another upstream at the address says does not come here.
 */
final class UpstreamGates {

    private final ServingContext context;
    private final LimitGate limits;
    private final DrainGate drains;
    private final BackOffGate backOffs;

    /** Creates gates that let everything pass. */
    UpstreamGates(ServingContext context) {
        this.context = context;
        this.limits = new LimitGate(context);
        this.drains = new DrainGate(context);
        this.backOffs = new BackOffGate(context);
    }

    /** Returns what keeps rate limits. */
    LimitGate limits() {
        return limits;
    }

    /** Returns what knows of announced drains. */
    DrainGate drains() {
        return drains;
    }

    /** Returns what keeps back-offs that upstreams asked for. */
    BackOffGate backOffs() {
        return backOffs;
    }

    /** Tells whether nothing that upstreams said of their limits or back-offs holds any request up. */
    boolean isIdle() {
        return limits.isIdle() && backOffs.isIdle();
    }

    /** Returns the time until a request to an upstream may pass, in milliseconds; 0 if it may pass or be asked for. */
    long blockedMillis(UpstreamId upstream) {
        return Math.max(limits.blockedMillis(upstream), backOffs.blockedMillis(upstream));
    }

    /** Says why a choice that was made is not sent now; {@code null} if it is, as far as answers say. */
    PassedOverCause whyNotSent(UpstreamChoice choice) {
        PassedOverCause cause = whyNotUsed(choice.upstream().id());
        for (UpstreamEntry helper : choice.helpers()) {
            cause = cause == null ? whyNotUsed(helper.id()) : cause;
        }
        return cause;
    }

    /** Says why an upstream is to be given nothing now, leaving limits aside. */
    private PassedOverCause whyNotUsed(UpstreamId upstream) {
        if (context.upstreams().isDraining(upstream)) {
            return PassedOverCause.DRAINING;
        }
        return backOffs.blockedMillis(upstream) > 0 ? PassedOverCause.BACK_OFF : null;
    }

    /**
     * Takes in what an answer says.
     *
     * @param upstream the upstream that answered
     * @param notice what the answer says of it
     * @param sentMillis when the request was sent, or before; {@link Long#MIN_VALUE} if it is not known
     * @param requestId the request, or {@code null} if it is no caller's
     */
    void answered(UpstreamId upstream, UpstreamNotice notice, long sentMillis, String requestId) {
        limits.answered(upstream, notice.limit(), sentMillis, requestId);
        drains.answered(upstream, notice.drain(), sentMillis, requestId);
        backOffs.answered(upstream, notice.backOff(), requestId);
    }

    /** Forgets a start of an upstream that is over. */
    void forget(UpstreamId upstream) {
        limits.forget(upstream);
    }

    /** Forgets what holds no more; tells whether the platform's list of upstreams can be relied upon. */
    void expire(boolean platformAnswers) {
        limits.expire();
        drains.expire(platformAnswers);
        backOffs.expire();
    }
}
