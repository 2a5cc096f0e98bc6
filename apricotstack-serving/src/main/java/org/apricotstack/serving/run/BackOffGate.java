package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedBackOff;
import org.apricotstack.core.upstream.BackOffTable;
import org.apricotstack.serving.observe.DecisionLog;

/** Notes which upstreams turned this router away and asked it to send them nothing for a while. */
final class BackOffGate {

    private final ServingContext context;
    private final BackOffTable table = new BackOffTable();

    /** Creates a gate. */
    BackOffGate(ServingContext context) {
        this.context = context;
    }

    /** Takes in what an answer says; the request is {@code null} if it is no caller's. */
    void answered(UpstreamId upstream, AdvertisedBackOff stated, String requestId) {
        if (stated.kind() == AdvertisedBackOff.Kind.ABSENT) {
            return;
        }
        context.metrics().backOff(stated.kind());
        if (stated.kind() == AdvertisedBackOff.Kind.STATED
                && table.backOffRequested(upstream, stated.millis(), context.nowMillis())) {
            DecisionLog.Line line = requestId == null
                    ? context.log().line("back_off_began")
                    : context.log().request("back_off_began", requestId);
            line.put("upstream", upstream.value())
                    .put("incarnation", upstream.incarnation())
                    .put("millis", stated.millis())
                    .write();
        }
        context.metrics().backOffsInForce(table.size());
    }

    /** Returns the time until an upstream may be sent requests, in milliseconds; 0 if it may be sent some now. */
    long opensMillis(UpstreamId upstream) {
        return table.isEmpty() ? 0 : table.opensMillis(upstream, context.nowMillis());
    }

    /** Tells whether no upstream asked for a back-off. */
    boolean isIdle() {
        return table.isEmpty();
    }

    /** Writes down which back-offs are over. */
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
