package org.apricotstack.bench.experiment;

import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.dispatch.ArrivalQueueOrder;
import org.apricotstack.core.dispatch.LeastFirstTokenUpstreamChooser;
import org.apricotstack.core.dispatch.LeastInFlightUpstreamChooser;
import org.apricotstack.core.dispatch.QueueOrder;
import org.apricotstack.core.dispatch.ResponseRatioQueueOrder;
import org.apricotstack.core.dispatch.SchedulerOptions;
import org.apricotstack.core.dispatch.UpstreamChooser;

/** Policies of a queue experiment. */
public enum Policy {
    /** First come, first served, to the engine with the fewest streams; requests to engines carry no priorities. */
    FIRST_COME(new ArrivalQueueOrder(), new LeastInFlightUpstreamChooser(), 0, false),
    /** First come, first served, but engines prefer short prompts. */
    FIRST_COME_PRIORITIES(new ArrivalQueueOrder(), new LeastInFlightUpstreamChooser(), 0, true),
    /** Policy of the registry: gives more weight to the slowdown of short prompts. */
    REGISTRY(new ResponseRatioQueueOrder(0.9), new LeastFirstTokenUpstreamChooser(), 0.2, true),
    /** Policy of the cooperative: gives more weight to the time to first token over all lengths. */
    COOPERATIVE(new ResponseRatioQueueOrder(0.3), new LeastFirstTokenUpstreamChooser(), 0.2, true);

    private final QueueOrder order;
    private final UpstreamChooser chooser;
    private final double shortShare;
    private final boolean priorities;

    /** Creates a policy. */
    Policy(QueueOrder order, UpstreamChooser chooser, double shortShare, boolean priorities) {
        this.order = order;
        this.chooser = chooser;
        this.shortShare = shortShare;
        this.priorities = priorities;
    }

    /** Returns the options of the scheduler. */
    SchedulerOptions options(FleetLimits limits) {
        return new SchedulerOptions(limits, order, shortShare, chooser);
    }

    /** Returns whether requests to engines carry priorities. */
    boolean hasPriorities() {
        return priorities;
    }
}
