package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.upstream.AnnouncedDrain;
import org.apricotstack.core.upstream.DrainChange;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.DecisionLog;

/** Tracks the drains that upstreams announce in their answers, and reports them to the other routers. */
final class DrainGate {

    private final ServingContext context;

    /** Creates a gate. */
    DrainGate(ServingContext context) {
        this.context = context;
    }

    /** Returns the announced drains. */
    private DrainTable table() {
        return context.upstreams().drains();
    }

    /**
     * Processes the drain state that an answer advertises; the request id is {@code null} if no caller's request was
     * answered.
     */
    void answered(UpstreamId upstream, AdvertisedDrain advertised, long sentMillis, String requestId) {
        if (advertised == AdvertisedDrain.UNREADABLE) {
            context.metrics().drainUnreadable();
        }
        if (advertised != AdvertisedDrain.DRAINING && table().isEmpty()) {
            return;
        }
        AnnouncedDrain before = table().find(upstream);
        DrainChange change = table().answerReceived(upstream, advertised, sentMillis, context.nowMillis());
        if (change == DrainChange.BEGAN) {
            context.metrics().drainAnnounced();
            line("drain_announced", upstream, requestId).put("source", "answer").write();
            context.placementGossip().drainChanged(upstream);
        } else if (change == DrainChange.ENDED) {
            ended(upstream, before, "answer", requestId);
            context.placementGossip().drainChanged(upstream);
        }
    }

    /** Ends the drain of an upstream that the platform lists as serving again after it listed it as draining. */
    void listedAsServing(UpstreamId upstream) {
        AnnouncedDrain before = table().find(upstream);
        if (table().drainEnded(upstream, context.nowMillis()) == DrainChange.ENDED) {
            ended(upstream, before, "platform", null);
            context.placementGossip().drainChanged(upstream);
        }
    }

    /**
     * Ends drains that the platform has contradicted for the time set in {@link DrainTable}, and removes those of
     * upstreams that are no longer listed.
     */
    void expire(boolean platformAnswers) {
        table().expire(upstream -> listing(upstream, platformAnswers), context.nowMillis())
                .forEach((upstream, drain) -> ended(upstream, drain, "contradicted", null));
    }

    /** Returns how the platform lists an upstream. */
    private DrainTable.Listing listing(UpstreamId upstream, boolean platformAnswers) {
        UpstreamEntry entry = context.upstreams().find(upstream);
        if (!platformAnswers || entry != null && entry.draining()) {
            return DrainTable.Listing.DRAINING_OR_UNKNOWN;
        }
        return entry == null ? DrainTable.Listing.ABSENT : DrainTable.Listing.SERVING;
    }

    /** Logs that an upstream serves requests again. */
    private void ended(UpstreamId upstream, AnnouncedDrain before, String source, String requestId) {
        line("drain_ended", upstream, requestId)
                .put("source", source)
                .put("age_millis", context.nowMillis() - before.sinceMillis())
                .write();
    }

    /** Starts a log line, with the request id if there is one. */
    private DecisionLog.Line line(String event, UpstreamId upstream, String requestId) {
        DecisionLog.Line line =
                requestId == null ? context.log().line(event) : context.log().request(event, requestId);
        return line.put("upstream", upstream.value()).put("incarnation", upstream.incarnation());
    }
}
