package org.apricotstack.core.routing;

import java.util.Comparator;

import org.apricotstack.core.configuration.Group;

/** Chooses the group with the least expected delay and breaks ties by id, for tests without affinity. */
public final class LeastDelayTestChooser implements GroupChooser {

    private final GroupLoadTable loads;

    /** Creates a chooser. */
    public LeastDelayTestChooser(GroupLoadTable loads) {
        this.loads = loads;
    }

    @Override
    public GroupChoice choose(RoutingRequest request) {
        Group least = request.candidates().stream()
                .min(Comparator.<Group>comparingLong(
                                group -> loads.expectedDelayMillis(group.id(), request.lengthClass()))
                        .thenComparing(Group::id))
                .orElseThrow();
        return new GroupChoice(least, GroupChoice.Reason.LEAST_DELAY);
    }
}
