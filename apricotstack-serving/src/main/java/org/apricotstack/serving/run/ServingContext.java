package org.apricotstack.serving.run;

import java.util.function.Supplier;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.ratelimit.LimitsInForce;
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
 * Components that all requests of a router share.
 *
 * @param process this router process
 * @param dataCentre its data centre
 * @param loop the event loop
 * @param configuration the configuration in force, or {@code null} before the first
 * @param upstreams the listed upstreams
 * @param outlierDetector health records of the upstreams
 * @param loadTable placements and load of the engines
 * @param connections connections to upstreams
 * @param protocol header format of the upstreams
 * @param engines control operations of engines
 * @param placementGossip reports placements and failures to the other routers
 * @param suspects requests that were in flight when upstreams crashed
 * @param suspectGossip reports suspected requests to the other routers
 * @param limits the rate limits in force
 * @param limitGossip reports rate limits to the other routers
 * @param budgets retry budgets
 * @param bodies limits the bytes of buffered request bodies
 * @param stop rejects requests that a stopping router could not complete
 * @param log the decision log
 * @param metrics the metrics
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
        LimitsInForce limits,
        LimitGossip limitGossip,
        RetryBudgets budgets,
        ByteBudget bodies,
        StopGate stop,
        DecisionLog log,
        ServingMetrics metrics) {

    /** Returns the time of the loop's clock, in milliseconds. */
    long nowMillis() {
        return loop.nowMillis();
    }
}
