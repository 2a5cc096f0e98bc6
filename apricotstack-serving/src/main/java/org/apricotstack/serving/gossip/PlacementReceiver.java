package org.apricotstack.serving.gossip;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.Avoided;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.Placed;

/** Takes in what other routers place on engines, and which upstreams failed there. */
final class PlacementReceiver {

    private final EngineLoadTable board;
    private final OutlierDetector judge;
    private final PublishedState state;
    private final StartPhase start;
    private long heard;

    /** Creates an intake that has heard nothing. */
    PlacementReceiver(EngineLoadTable board, OutlierDetector judge, PublishedState state, StartPhase start) {
        this.board = board;
        this.judge = judge;
        this.state = state;
        this.start = start;
    }

    /** Takes the placements of a peer in. */
    void take(NewsFrame frame, ProcessId sender, long nowMillis) {
        if (frame.getWhole()) {
            Set<PlacementId> told = new HashSet<>();
            frame.getPlacedList().forEach(placed -> told.add(new PlacementId(sender, placed.getNumber())));
            board.retainInFlight(sender, told, nowMillis);
            start.toldBy(sender.host());
        }
        for (Placed placed : frame.getPlacedList()) {
            if (placed.getPartsCount() > 0) {
                EnginePlacement placement = GossipMessages.placement(sender, placed);
                boolean over = state.isOver(placement.lead().engine());
                boolean isNew = !over && board.place(placement, nowMillis, placed.getLimitMillis());
                heard += isNew ? 1 : 0;
            }
        }
        frame.getWritingList().forEach(number -> board.startDecoding(new PlacementId(sender, number), nowMillis));
        frame.getEndedList().forEach(number -> board.remove(new PlacementId(sender, number), nowMillis));
    }

    /** Takes the failures that a peer saw in. */
    void takeAvoided(NewsFrame frame, long nowMillis) {
        for (Avoided avoided : frame.getAvoidedList()) {
            UpstreamId upstream = GossipMessages.upstream(avoided);
            if (!state.isOver(upstream)) {
                judge.reportedByPeer(upstream, avoided.getAvoidMillis(), nowMillis);
            }
        }
    }

    /** Returns how many placements of other routers were heard of since the start. */
    long heard() {
        return heard;
    }
}
