package org.apricotstack.core.routing;

import java.util.concurrent.atomic.AtomicInteger;

/** Chooses groups in turn; serves as the baseline in measurements. */
public final class RoundRobinGroupChooser implements GroupChooser {

    private final AtomicInteger turn = new AtomicInteger();

    @Override
    public GroupChoice choose(RoutingRequest request) {
        int index = Math.floorMod(turn.getAndIncrement(), request.candidates().size());
        return new GroupChoice(request.candidates().get(index), GroupChoice.Reason.TURN);
    }
}
