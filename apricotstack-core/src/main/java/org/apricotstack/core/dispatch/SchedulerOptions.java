package org.apricotstack.core.dispatch;

import org.apricotstack.core.configuration.FleetLimits;

/**
 * What the scheduling of a group depends on besides its upstreams.
 *
 * @param limits limits of the fleet
 * @param order the order of the queue
 * @param shortShare share of each engine's memory, and of the engines, kept for short prompts while any wait
 * @param chooser how an engine is chosen among those with freeTokens
 */
public record SchedulerOptions(FleetLimits limits, QueueOrder order, double shortShare, UpstreamChooser chooser) {}
