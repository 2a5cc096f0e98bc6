package org.apricotstack.serving.run;

import java.util.function.Supplier;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.UpstreamConnections;
import org.apricotstack.serving.http.UpstreamProtocol;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;

/**
 * What all requests of a router share.
 *
 * @param process this router process
 * @param dataCentre where it stands
 * @param loop the thread
 * @param configuration the configuration in force, or {@code null} before the first
 * @param upstreams the listed upstreams
 * @param outlierDetector judges them
 * @param loadTable what engines are doing
 * @param connections connections to upstreams
 * @param protocol the upstreams' headers
 * @param engines what engines offer beside running prompts
 * @param placementGossip tells other routers
 * @param suspects requests under which upstreams ended
 * @param suspectGossip tells other routers of them
 * @param limits the rate limits that upstreams named
 * @param limitGossip tells other routers of them
 * @param budgets what may be repeated
 * @param bodies bounds the bytes of requests that are held
 * @param log takes decisions
 * @param metrics counts
 */
public record ServingContext(
        ProcessId process,
        DataCentreId dataCentre,
        ServingLoop loop,
        Supplier<ServingConfiguration> configuration,
        UpstreamTable upstreams,
        OutlierDetector outlierDetector,
        EngineLoadTable loadTable,
        UpstreamConnections connections,
        UpstreamProtocol protocol,
        EngineCalls engines,
        PlacementGossip placementGossip,
        SuspectTable suspects,
        SuspectGossip suspectGossip,
        LimitTable limits,
        LimitGossip limitGossip,
        RetryBudgets budgets,
        ByteBudget bodies,
        DecisionLog log,
        ServingMetrics metrics) {

    /** Reads the clock, in milliseconds. */
    long nowMillis() {
        return loop.nowMillis();
    }
}
