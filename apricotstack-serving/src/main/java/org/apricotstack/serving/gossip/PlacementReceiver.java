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

/** Applies the placements on engines, and the failures of upstreams, that other routers report. */
final class PlacementReceiver {

    private final EngineLoadTable loadTable;
    private final OutlierDetector outlierDetector;
    private final PublishedState state;
    private final StartPhase start;
    private long received;

    /** Creates a receiver without placements. */
    PlacementReceiver(
            EngineLoadTable loadTable, OutlierDetector outlierDetector, PublishedState state, StartPhase start) {
        this.loadTable = loadTable;
        this.outlierDetector = outlierDetector;
        this.state = state;
        this.start = start;
    }

    /** Applies the placements of a peer. */
    void receive(NewsFrame frame, ProcessId sender, long nowMillis) {
        if (frame.getWhole()) {
            Set<PlacementId> reported = new HashSet<>();
            frame.getPlacedList().forEach(placed -> reported.add(new PlacementId(sender, placed.getNumber())));
            loadTable.retainInFlight(sender, reported, nowMillis);
            start.placementsReportedBy(sender.host());
        }
        for (Placed placed : frame.getPlacedList()) {
            if (placed.getPartsCount() > 0) {
                EnginePlacement placement = GossipMessages.placement(sender, placed);
                boolean superseded = state.isSuperseded(placement.lead().engine());
                boolean isNew = !superseded && loadTable.place(placement, nowMillis, placed.getLimitMillis());
                received += isNew ? 1 : 0;
            }
        }
        frame.getWritingList().forEach(number -> loadTable.startDecoding(new PlacementId(sender, number), nowMillis));
        frame.getEndedList().forEach(number -> loadTable.remove(new PlacementId(sender, number), nowMillis));
    }

    /** Applies the failures that a peer observed. */
    void receiveAvoided(NewsFrame frame, long nowMillis) {
        for (Avoided avoided : frame.getAvoidedList()) {
            UpstreamId upstream = GossipMessages.upstream(avoided);
            if (!state.isSuperseded(upstream)) {
                outlierDetector.reportedByPeer(upstream, avoided.getAvoidMillis(), nowMillis);
            }
        }
    }

    /** Returns the number of placements received from other routers since the start. */
    long received() {
        return received;
    }
}
