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
 * Tells the other routers which upstreams announced that they leave.
 *
 * <p>Only a router that learns it from an answer tells it, once for each drain and each end of one. Routers that decide
 * on requests hear it over streams, which begin with all that is known; those that stand by get datagrams, which may be
 * lost and are repeated.
 */
final class DrainChannel {

    /** Times after which routers that stand by are told again, in milliseconds. */
    private static final long[] REPEAT_MILLIS = {250, 1_500};

    private final ServingLoop loop;
    private final DrainTable table;
    private final GossipPeers peers;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> news;

    /** Creates a channel; the news are the frame that is sent at the end of this turn of the loop. */
    DrainChannel(
            ServingLoop loop, DrainTable table, GossipPeers peers, DecisionLog log, Supplier<NewsFrame.Builder> news) {
        this.loop = loop;
        this.table = table;
        this.peers = peers;
        this.log = log;
        this.news = news;
    }

    /** Tells what is known now of an upstream whose answer changed it. */
    void tell(UpstreamId upstream) {
        DrainNotice notice = notice(upstream);
        if (notice == null) {
            return;
        }
        peers.openStreams();
        news.get().addDrains(notice);
        tellStandBy(upstream);
        for (long delayMillis : REPEAT_MILLIS) {
            loop.schedule(delayMillis, () -> tellStandBy(upstream));
        }
    }

    /** Tells the routers that stand by what is known now of an upstream. */
    private void tellStandBy(UpstreamId upstream) {
        DrainNotice notice = notice(upstream);
        if (notice != null) {
            peers.tellStandBy(NewsFrame.newBuilder().addDrains(notice).build());
        }
    }

    /** Writes what is known of an upstream; {@code null} if nothing is. */
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

    /** Tells whether any upstream leaves of which the other routers have to hear. */
    boolean any() {
        return !table.isEmpty();
    }

    /** Adds what is known to a frame for a router that missed news. */
    void addAll(NewsFrame.Builder frame) {
        table.all().keySet().forEach(upstream -> frame.addDrains(notice(upstream)));
    }

    /**
     * Takes in what another router tells.
     *
     * @param frame the news
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void take(NewsFrame frame, Address sender) {
        frame.getDrainsList().forEach(notice -> heard(notice, sender == null ? "news" : sender.toString()));
    }

    /** Takes in what another router read in an answer of an upstream. */
    private void heard(DrainNotice notice, String source) {
        UpstreamId upstream = new UpstreamId(notice.getUpstream(), notice.getIncarnation());
        if (peers.isOver(upstream)) {
            return;
        }
        long now = loop.nowMillis();
        long atMillis = now - Math.max(0, notice.getAgoMillis());
        DrainChange change =
                notice.getEnded() ? table.ended(upstream, atMillis) : table.reportedByPeer(upstream, atMillis, now);
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
