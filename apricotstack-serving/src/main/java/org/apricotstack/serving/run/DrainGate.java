package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.upstream.AnnouncedDrain;
import org.apricotstack.core.upstream.DrainChange;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.DecisionLog;

/** Notes which upstreams announce in their answers that they leave, and lets the other routers know. */
final class DrainGate {

    private final ServingContext context;

    /** Creates a gate. */
    DrainGate(ServingContext context) {
        this.context = context;
    }

    /** Returns what is known. */
    private DrainTable table() {
        return context.upstreams().drains();
    }

    /** Takes in what an answer says; the request is {@code null} if it is no caller's. */
    void answered(UpstreamId upstream, AdvertisedDrain stated, long sentMillis, String requestId) {
        if (stated == AdvertisedDrain.UNREADABLE) {
            context.metrics().drainUnreadable();
        }
        if (stated != AdvertisedDrain.DRAINING && table().isEmpty()) {
            return;
        }
        AnnouncedDrain before = table().find(upstream);
        DrainChange change = table().answerReceived(upstream, stated, sentMillis, context.nowMillis());
        if (change == DrainChange.BEGAN) {
            context.metrics().drainAnnounced();
            line("drain_announced", upstream, requestId).put("source", "answer").write();
            context.placementGossip().drainChanged(upstream);
        } else if (change == DrainChange.ENDED) {
            ended(upstream, before, "answer", requestId);
            context.placementGossip().drainChanged(upstream);
        }
    }

    /** Takes in that the platform lists an upstream as taking requests that it listed as leaving before. */
    void servingAgain(UpstreamId upstream) {
        AnnouncedDrain before = table().find(upstream);
        if (table().ended(upstream, context.nowMillis()) == DrainChange.ENDED) {
            ended(upstream, before, "platform", null);
            context.placementGossip().drainChanged(upstream);
        }
    }

    /** Ends drains that the platform has contradicted for long, and forgets those of upstreams that are gone. */
    void expire(boolean platformAnswers) {
        table().expire(upstream -> listing(upstream, platformAnswers), context.nowMillis())
                .forEach((upstream, drain) -> ended(upstream, drain, "contradicted", null));
    }

    /** Returns what the platform says of an upstream. */
    private DrainTable.Listing listing(UpstreamId upstream, boolean platformAnswers) {
        UpstreamEntry entry = context.upstreams().find(upstream);
        if (!platformAnswers || entry != null && entry.draining()) {
            return DrainTable.Listing.DRAINING_OR_UNKNOWN;
        }
        return entry == null ? DrainTable.Listing.ABSENT : DrainTable.Listing.SERVING;
    }

    /** Writes down that an upstream takes requests again. */
    private void ended(UpstreamId upstream, AnnouncedDrain before, String source, String requestId) {
        line("drain_ended", upstream, requestId)
                .put("source", source)
                .put("age_millis", context.nowMillis() - before.sinceMillis())
                .write();
    }

    /** Begins a line, on a request if one is known. */
    private DecisionLog.Line line(String event, UpstreamId upstream, String requestId) {
        DecisionLog.Line line =
                requestId == null ? context.log().line(event) : context.log().request(event, requestId);
        return line.put("upstream", upstream.value()).put("incarnation", upstream.incarnation());
    }
}
