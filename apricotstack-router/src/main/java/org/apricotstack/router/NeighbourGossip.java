package org.apricotstack.router;

import java.util.List;
import java.util.function.Supplier;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.FailureDetector;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.membership.WatchRings;

/** Sends state updates to all neighbours at once, instead of with the next probe of each. */
final class NeighbourGossip {

    private final HostId self;
    private final Supplier<MemberView> views;
    private final FailureDetector detector;
    private List<HostId> neighbours = List.of();
    private long neighboursOfRoster = -1;

    /**
     * Creates the gossip of a router.
     *
     * @param self this router
     * @param views the current membership view
     * @param detector sends the probes that carry state updates
     */
    NeighbourGossip(HostId self, Supplier<MemberView> views, FailureDetector detector) {
        this.self = self;
        this.views = views;
        this.detector = detector;
    }

    /** Probes all neighbours. A neighbour that does not answer receives the updates from others. */
    void broadcast() {
        MemberView view = views.get();
        for (HostId host : neighbours(view.roster())) {
            RosterHost neighbour = view.roster().routers().get(host);
            detector.probe(neighbour).subscribe(done -> {}, error -> {});
        }
    }

    /** Returns the neighbours, computed once for each roster. */
    private synchronized List<HostId> neighbours(Roster roster) {
        if (neighboursOfRoster != roster.version()) {
            neighbours = WatchRings.neighbours(roster.routers().keySet(), self);
            neighboursOfRoster = roster.version();
        }
        return neighbours;
    }
}
