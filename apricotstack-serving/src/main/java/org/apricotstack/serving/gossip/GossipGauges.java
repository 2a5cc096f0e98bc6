package org.apricotstack.serving.gossip;

import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.serving.observe.ServingMetrics;

/** Gauges of the state updates between routers. */
public final class GossipGauges {

    private GossipGauges() {}

    /**
     * Registers the gauges.
     *
     * @param metrics receives them
     * @param hub exchanges the state updates
     */
    public static void register(ServingMetrics metrics, GossipHub hub, LimitsInForce limits) {
        metrics.gauge("routers.known", hub::knownRouters);
        metrics.gauge("routers.told_of_placements", hub::placementReceivers);
        metrics.gauge("placements.heard", hub::placementsReceived);
        metrics.gauge("suspects.ends_heard", hub.suspects()::received);
        metrics.gauge("suspects.news_dropped", hub.suspects()::dropped);
        metrics.gauge("suspects.parts_dropped", hub.suspects()::partsDropped);
        metrics.gauge("limits.in_force", () -> limits.advertised().all().size());
        metrics.gauge("cold.in_force", () -> limits.cold().all().size());
        metrics.gauge("limits.kept", hub.limits()::kept);
        metrics.gauge("limits.questions_unanswered", hub.limits()::unanswered);
        metrics.gauge("limits.news_dropped", hub.limits()::dropped);
    }
}
