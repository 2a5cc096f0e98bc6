package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.UpstreamNotice;

/**
 * Takes in all that answers of upstreams say of the upstreams themselves: of requests, reports and orders, of any
 * status, also late ones. What another upstream at the address says does not come here.
 */
final class NoticeIntake {

    private final LimitGate limits;
    private final DrainGate drains;

    /** Creates an intake. */
    NoticeIntake(LimitGate limits, DrainGate drains) {
        this.limits = limits;
        this.drains = drains;
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
    }
}
