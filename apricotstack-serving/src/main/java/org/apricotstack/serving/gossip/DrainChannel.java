package org.apricotstack.serving.gossip;

import java.util.function.Supplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.AnnouncedDrain;
import org.apricotstack.core.upstream.DrainChange;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.wire.news.DrainNotice;
import org.apricotstack.wire.news.NewsFrame;

/**
 * Reports to the other routers which upstreams announced a drain.
 *
 * <p>Only a router that learns it from a response of the upstream reports it, once for the start and once for the end
 * of each drain. Active routers receive it over streams, which begin with the full state. Standby routers get
 * datagrams, which may be lost and are repeated.
 */
final class DrainChannel {

    /** Delays after which the datagram to standby routers is repeated, in milliseconds. */
    private static final long[] REPEAT_DELAYS_MILLIS = {250, 1_500};

    private final ServingLoop loop;
    private final DrainTable table;
    private final GossipPeers peers;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> frameBuilder;

    /** Creates a channel; the supplier returns the frame that is sent at the end of this turn of the event loop. */
    DrainChannel(
            ServingLoop loop,
            DrainTable table,
            GossipPeers peers,
            DecisionLog log,
            Supplier<NewsFrame.Builder> frameBuilder) {
        this.loop = loop;
        this.table = table;
        this.peers = peers;
        this.log = log;
        this.frameBuilder = frameBuilder;
    }

    /** Reports the drain state of an upstream after a response changed it. */
    void broadcast(UpstreamId upstream) {
        DrainNotice notice = notice(upstream);
        if (notice == null) {
            return;
        }
        peers.openStreams();
        frameBuilder.get().addDrains(notice);
        sendToStandby(upstream);
        for (long delayMillis : REPEAT_DELAYS_MILLIS) {
            loop.schedule(delayMillis, () -> sendToStandby(upstream));
        }
    }

    /** Reports the current drain state of an upstream to the standby routers. */
    private void sendToStandby(UpstreamId upstream) {
        DrainNotice notice = notice(upstream);
        if (notice != null) {
            peers.sendToStandby(NewsFrame.newBuilder().addDrains(notice).build());
        }
    }

    /** Encodes the drain state of an upstream; {@code null} if there is none. */
    private DrainNotice notice(UpstreamId upstream) {
        AnnouncedDrain drain = table.find(upstream);
        Long endMillis = table.endMillis(upstream);
        if (drain == null && endMillis == null) {
            return null;
        }
        long atMillis = drain == null ? endMillis : drain.announcedMillis();
        return DrainNotice.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setAgoMillis(Math.max(0, loop.nowMillis() - atMillis))
                .setEnded(drain == null)
                .build();
    }

    /** Returns whether any upstream is draining, which the other routers have to learn. */
    boolean hasState() {
        return !table.isEmpty();
    }

    /** Adds all drains to a frame for a router that missed updates. */
    void addAll(NewsFrame.Builder frame) {
        table.all().keySet().forEach(upstream -> frame.addDrains(notice(upstream)));
    }

    /**
     * Applies the drains that another router reports.
     *
     * @param frame the state update
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void receive(NewsFrame frame, Address sender) {
        frame.getDrainsList().forEach(notice -> receiveNotice(notice, sender == null ? "news" : sender.toString()));
    }

    /** Applies a drain notice that another router learned from a response of the upstream. */
    private void receiveNotice(DrainNotice notice, String source) {
        UpstreamId upstream = new UpstreamId(notice.getUpstream(), notice.getIncarnation());
        if (peers.isSuperseded(upstream)) {
            return;
        }
        long now = loop.nowMillis();
        long atMillis = now - Math.max(0, notice.getAgoMillis());
        DrainChange change = notice.getEnded()
                ? table.drainEnded(upstream, atMillis)
                : table.reportedByPeer(upstream, atMillis, now);
        if (change != DrainChange.NONE) {
            log.line(change == DrainChange.BEGAN ? "drain_announced" : "drain_ended")
                    .put("upstream", upstream.value())
                    .put("incarnation", upstream.incarnation())
                    .put("ago_millis", now - atMillis)
                    .put("source", source)
                    .write();
        }
    }
}
