package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedBackOff;
import org.apricotstack.core.upstream.BackOffTable;
import org.apricotstack.serving.observe.DecisionLog;

/** Tracks the back-offs that upstreams requested when they rejected requests of this router. */
final class BackOffGate {

    private final ServingContext context;
    private final BackOffTable table = new BackOffTable();

    /** Creates a gate without back-offs. */
    BackOffGate(ServingContext context) {
        this.context = context;
    }

    /**
     * Processes the back-off that an upstream's answer requests; the request id is {@code null} if no caller's request
     * was answered.
     */
    void answered(UpstreamId upstream, AdvertisedBackOff advertised, String requestId) {
        if (advertised.kind() == AdvertisedBackOff.Kind.ABSENT) {
            return;
        }
        context.metrics().backOff(advertised.kind());
        if (advertised.kind() == AdvertisedBackOff.Kind.STATED
                && table.backOffRequested(upstream, advertised.millis(), context.nowMillis())) {
            DecisionLog.Line line = requestId == null
                    ? context.log().line("back_off_began")
                    : context.log().request("back_off_began", requestId);
            line.put("upstream", upstream.value())
                    .put("incarnation", upstream.incarnation())
                    .put("millis", advertised.millis())
                    .write();
        }
        context.metrics().backOffsInForce(table.size());
    }

    /** Returns the time until requests may be sent to an upstream, in milliseconds; 0 if they may be sent now. */
    long blockedMillis(UpstreamId upstream) {
        return table.isEmpty() ? 0 : table.blockedMillis(upstream, context.nowMillis());
    }

    /** Returns whether no back-off is in force. */
    boolean isIdle() {
        return table.isEmpty();
    }

    /** Removes and logs the back-offs that have ended. */
    void expire() {
        if (table.isEmpty()) {
            return;
        }
        table.expire(context.nowMillis()).forEach((upstream, backOff) -> context.log()
                .line("back_off_ended")
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("millis", backOff.untilMillis() - backOff.sinceMillis())
                .write());
        context.metrics().backOffsInForce(table.size());
    }
}
