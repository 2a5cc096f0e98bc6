package org.apricotstack.core.dispatch;

import org.apricotstack.core.configuration.FleetLimits;

/**
 * Options for the scheduling of a group.
 *
 * @param limits limits of the fleet
 * @param order the order of the queue
 * @param shortShare share of each engine's memory, and of the engines, reserved for short prompts while any wait
 * @param chooser chooses an engine among those with free capacity
 */
public record SchedulerOptions(FleetLimits limits, QueueOrder order, double shortShare, UpstreamChooser chooser) {}
