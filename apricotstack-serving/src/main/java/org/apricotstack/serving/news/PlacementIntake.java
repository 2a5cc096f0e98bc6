package org.apricotstack.serving.news;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.engine.EngineBoard;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.UpstreamJudge;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.Avoided;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.Placed;

/** Takes in what other routers place on engines, and which upstreams failed there. */
final class PlacementIntake {

    private final EngineBoard board;
    private final UpstreamJudge judge;
    private final PublishedState state;
    private final StartPhase start;
    private long heard;

    /** Creates an intake that has heard nothing. */
    PlacementIntake(EngineBoard board, UpstreamJudge judge, PublishedState state, StartPhase start) {
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
            board.retainOf(sender, told, nowMillis);
            start.toldBy(sender.host());
        }
        for (Placed placed : frame.getPlacedList()) {
            if (placed.getPartsCount() > 0) {
                EnginePlacement placement = NewsMessages.placement(sender, placed);
                boolean over = state.isOver(placement.lead().engine());
                boolean isNew = !over && board.place(placement, nowMillis, placed.getLimitMillis());
                heard += isNew ? 1 : 0;
            }
        }
        frame.getWritingList().forEach(number -> board.startWriting(new PlacementId(sender, number), nowMillis));
        frame.getEndedList().forEach(number -> board.remove(new PlacementId(sender, number), nowMillis));
    }

    /** Takes the failures that a peer saw in. */
    void takeAvoided(NewsFrame frame, long nowMillis) {
        for (Avoided avoided : frame.getAvoidedList()) {
            UpstreamId upstream = NewsMessages.upstream(avoided);
            if (!state.isOver(upstream)) {
                judge.heard(upstream, avoided.getAvoidMillis(), nowMillis);
            }
        }
    }

    /** Returns how many placements of other routers were heard of since the start. */
    long heard() {
        return heard;
    }
}
