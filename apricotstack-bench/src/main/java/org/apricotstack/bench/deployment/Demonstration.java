package org.apricotstack.bench.deployment;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.replay.Replay;
import org.apricotstack.bench.replay.ReplayCaller;
import org.apricotstack.bench.replay.ReplayReport;
import org.apricotstack.bench.replay.ReplayResult;
import org.apricotstack.bench.trace.TraceGenerator;
import org.apricotstack.bench.trace.TraceOptions;
import org.apricotstack.bench.trace.TraceRecord;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.router.Router;

/** Replays a generated trace against a complete deployment in one process and prints the results. */
public final class Demonstration {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(75);

    private final DeploymentShape shape;
    private final PrintStream out;

    /**
     * Creates a demonstration.
     *
     * @param shape the deployment
     * @param out where progress and results are printed
     */
    public Demonstration(DeploymentShape shape, PrintStream out) {
        this.shape = shape;
        this.out = out;
    }

    /**
     * Runs the demonstration.
     *
     * @param requests number of requests in the trace
     * @param perSecond mean request rate per second
     * @param seed seed of the trace
     * @return whether every request ended as expected and no non-idempotent call ran twice
     */
    public boolean run(int requests, double perSecond, long seed) {
        EngineSpeed speed = EngineSpeed.DEFAULT;
        out.println("Starting " + shape.name() + ": "
                + shape.engines().stream().mapToInt(Integer::intValue).sum()
                + " engines, " + shape.routers() * shape.dataCentres().size() + " routers, "
                + shape.dataCentres().size() + " data centres.");
        try (LocalDeployment deployment = new LocalDeployment(shape, speed, 1);
                ReplayCaller caller = new ReplayCaller(deployment.entries(), REQUEST_TIMEOUT)) {
            List<TraceRecord> trace = TraceGenerator.generate(new TraceOptions(
                    seed,
                    requests,
                    perSecond,
                    0.02,
                    1_000_000,
                    0.3,
                    0.05,
                    shape.accountNames(),
                    DeploymentDocuments.SERVICES));
            AtomicInteger completed = new AtomicInteger();
            List<ReplayResult> results = Replay.run(trace, caller, 1, result -> progress(completed, requests));
            out.println();
            ReplayReport report = new ReplayReport(results, FleetLimits.DEFAULT, speed, 1);
            out.println(report.table());
            LocalDeployment.await("no engine holds memory", () -> deployment.heldTokens() == 0);
            out.println("Memory held by engines at the end: " + deployment.heldTokens() + " tokens");
            out.println("Maximum number of runs of a non-idempotent call: "
                    + deployment.ledger().maxRuns());
            out.println("Counters that are not zero: " + counters(deployment));
            return report.unexpected().isEmpty() && deployment.ledger().maxRuns() <= 1;
        }
    }

    /** Prints progress. */
    private void progress(AtomicInteger completed, int requests) {
        int count = completed.incrementAndGet();
        if (count % Math.max(1, requests / 10) == 0) {
            out.println(count + " of " + requests + " requests have ended");
        }
    }

    /** Sums the counters over all routers, without those of replication and those that are zero. */
    private static SortedMap<String, Long> counters(LocalDeployment deployment) {
        SortedMap<String, Long> sums = new TreeMap<>();
        for (Router router : deployment.routers().values()) {
            router.metrics().registry().getCounters().forEach((name, counter) -> {
                if (counter.getCount() > 0) {
                    sums.merge(name, counter.getCount(), Long::sum);
                }
            });
        }
        return sums.entrySet().stream()
                .filter(entry -> !entry.getKey().startsWith("replication."))
                .collect(TreeMap::new, (map, entry) -> map.put(entry.getKey(), entry.getValue()), Map::putAll);
    }
}
