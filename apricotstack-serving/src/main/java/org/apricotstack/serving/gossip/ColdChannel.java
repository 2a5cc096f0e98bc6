package org.apricotstack.serving.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.ColdSource;
import org.apricotstack.core.ratelimit.ColdState;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.ColdLog;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.wire.news.ColdNotice;
import org.apricotstack.wire.news.NewsFrame;

/**
 * Reports to the other routers which upstreams are cold according to their responses. What entries state is known to
 * all routers that have the list; a router that missed updates is told all of it.
 */
final class ColdChannel {

    /** Shortest time between two reported changes of one cold period, in milliseconds. */
    private static final long MIN_CHANGE_INTERVAL_MILLIS = 500;

    private final ServingLoop loop;
    private final LimitsInForce limits;
    private final GossipPeers peers;
    private final ColdLog log;
    private final Supplier<NewsFrame.Builder> frameBuilder;
    private final Map<UpstreamId, Long> lastReportedMillis = new HashMap<>();

    /** Creates a channel; the supplier returns the frame that is sent at the end of this turn of the event loop. */
    ColdChannel(
            ServingLoop loop,
            LimitsInForce limits,
            GossipPeers peers,
            DecisionLog log,
            Supplier<NewsFrame.Builder> frameBuilder) {
        this.loop = loop;
        this.limits = limits;
        this.peers = peers;
        this.log = new ColdLog(log);
        this.frameBuilder = frameBuilder;
    }

    /** Reports the cold period of an upstream after a response changed it. */
    void broadcast(UpstreamId upstream, LimitChange change) {
        long now = loop.nowMillis();
        Long lastMillis = lastReportedMillis.get(upstream);
        boolean tooSoon = lastMillis != null && now - lastMillis < MIN_CHANGE_INTERVAL_MILLIS;
        ColdNotice notice = notice(upstream);
        if (notice == null || change == LimitChange.CHANGED && tooSoon) {
            return;
        }
        lastReportedMillis.put(upstream, now);
        peers.openStreams();
        frameBuilder.get().addColds(notice);
        peers.sendToStandby(NewsFrame.newBuilder().addColds(notice).build());
    }

    /** Encodes the cold period of an upstream; {@code null} if none is known. */
    private ColdNotice notice(UpstreamId upstream) {
        long now = loop.nowMillis();
        ColdState state = limits.cold().find(upstream, now);
        Long endMillis = limits.cold().endMillis(upstream);
        if (state == null && endMillis == null) {
            return null;
        }
        long learntMillis = state == null ? endMillis : state.learntMillis();
        return ColdNotice.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setRemainingMillis(state == null ? 0 : state.untilMillis() - now)
                .setAgoMillis(Math.max(0, now - learntMillis))
                .setSource(
                        state == null
                                ? ColdNotice.Source.RESPONSE
                                : ColdNotice.Source.valueOf(state.source().name()))
                .build();
    }

    /** Returns whether any upstream is cold. */
    boolean hasState() {
        return !limits.cold().isEmpty();
    }

    /** Adds all cold periods to a frame for a router that missed updates. */
    void addAll(NewsFrame.Builder frame) {
        limits.cold().all().keySet().forEach(upstream -> addTo(frame, upstream));
    }

    /** Adds the cold period of an upstream, if there is one, to a frame with a permit request. */
    void addTo(NewsFrame.Builder frame, UpstreamId upstream) {
        if (limits.cold().find(upstream, loop.nowMillis()) != null) {
            frame.addColds(notice(upstream));
        }
    }

    /**
     * Applies the cold periods that another router reports.
     *
     * @param frame the state update
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void receive(NewsFrame frame, Address sender) {
        if (limits.coldRates().enabled()) {
            frame.getColdsList().forEach(notice -> receiveNotice(notice, sender == null ? "news" : sender.toString()));
        }
    }

    /** Applies a notice. */
    private void receiveNotice(ColdNotice notice, String reporter) {
        UpstreamId upstream = new UpstreamId(notice.getUpstream(), notice.getIncarnation());
        if (peers.isSuperseded(upstream)) {
            return;
        }
        long now = loop.nowMillis();
        ColdState before = limits.cold().find(upstream, now);
        LimitChange change = limits.cold()
                .reportedByPeer(
                        upstream,
                        notice.getRemainingMillis(),
                        now - Math.max(0, notice.getAgoMillis()),
                        source(notice.getSource()),
                        now);
        if (change == LimitChange.BEGAN) {
            log.cold(upstream, limits.cold().find(upstream, now), reporter, now);
        } else if (change == LimitChange.ENDED) {
            log.warm(upstream, before, now);
        }
    }

    /** Decodes the source; one of a later version of the program counts as a response. */
    private static ColdSource source(ColdNotice.Source source) {
        return switch (source) {
            case ENTRY -> ColdSource.ENTRY;
            case START -> ColdSource.START;
            default -> ColdSource.RESPONSE;
        };
    }

    /** Drops the state of upstreams that are no longer cold. */
    void expire() {
        if (!lastReportedMillis.isEmpty()) {
            lastReportedMillis
                    .keySet()
                    .removeIf(upstream -> !limits.cold().all().containsKey(upstream));
        }
    }
}
