package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apricotstack.adapters.settings.RouterSettings.Timings;
import org.apricotstack.bench.deployment.DeploymentDocuments;
import org.apricotstack.bench.deployment.DeploymentShape;
import org.apricotstack.bench.deployment.LocalDeployment;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.router.Router;
import reactor.core.publisher.Mono;

/**
 * Measures the control overhead of idle routers: bytes and packets on the wire, CPU time and heap; and the time until
 * all routers have applied a published change.
 */
final class ControlMeasurement {

    private static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c", "dc-d");
    private static final List<Integer> ROUTERS = List.of(8, 16, 32, 64);
    private static final List<Integer> ENGINES = List.of(8, 24, 48);
    private static final int FEW_ROUTERS = 8;
    private static final int WINDOWS = 2;
    private static final int CHANGES = 25;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final Duration WINDOW = Duration.ofSeconds(15);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENT = 100;

    private final List<Sample> samples = new ArrayList<>();

    /** Runs all measurements. */
    List<Sample> run() {
        for (int routers : ROUTERS) {
            measureByRouters(routers);
        }
        for (int engines : ENGINES) {
            measureByEngines(engines);
        }
        return samples;
    }

    /** Starts a deployment with the given total numbers of routers and engines. */
    private static LocalDeployment start(int routers, int engines) {
        int perDataCentre = engines / DATA_CENTRES.size();
        DeploymentShape shape = new DeploymentShape(
                "measure",
                DATA_CENTRES,
                List.of(perDataCentre, perDataCentre, perDataCentre, perDataCentre),
                0,
                routers / DATA_CENTRES.size(),
                20,
                0.5);
        Timings defaults = Timings.DEFAULT;
        return new LocalDeployment(
                shape,
                EngineSpeed.DEFAULT,
                1,
                new Timings(
                        defaults.probeMillis(),
                        defaults.probeTimeoutMillis(),
                        defaults.suspicionMillis(),
                        500,
                        defaults.watchMillis(),
                        defaults.supervisionMillis()));
    }

    /** Measures the cost per router as a function of the number of routers. */
    private void measureByRouters(int routers) {
        long heapBefore = MachineReadings.heapBytes();
        try (LocalDeployment deployment = start(routers, DATA_CENTRES.size())) {
            sleep(WARM_UP);
            for (int i = 0; i < WINDOWS; i++) {
                MachineReadings before = MachineReadings.now();
                sleep(WINDOW);
                MachineReadings after = MachineReadings.now();
                double seconds = after.secondsSince(before);
                // Each byte on loopback is sent by one router or stand-in and received by another.
                double bytes = 2.0 * (after.sentBytes() - before.sentBytes()) / seconds / routers;
                double packets = 2.0 * (after.sentPackets() - before.sentPackets()) / seconds / routers;
                add("control-bytes-per-second-by-routers", routers, bytes);
                add("control-packets-per-second-by-routers", routers, packets);
                add("control-core-percent-by-routers", routers, PERCENT * after.coreSince(before) / routers);
            }
            add("heap-bytes-by-routers", routers, (double) (MachineReadings.heapBytes() - heapBefore) / routers);
            changes(deployment, routers);
        }
    }

    /** Publishes changes one by one, and measures the time until all routers have applied each. */
    private void changes(LocalDeployment deployment, int routers) {
        MachineReadings before = MachineReadings.now();
        for (int i = 0; i < CHANGES; i++) {
            long start = System.nanoTime();
            long version = deployment
                    .platform()
                    .publish(
                            ReplicationTopic.CONFIGURATION,
                            Map.of("models/" + DeploymentDocuments.MODEL, DeploymentDocuments.model("r" + i)),
                            List.of());
            while (deployment.routers().values().stream().anyMatch(router -> isBehind(router, version))) {
                Thread.onSpinWait();
            }
            add("change-in-force-millis-by-routers", routers, (System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        MachineReadings after = MachineReadings.now();
        add("change-bytes-by-routers", routers, 2.0 * (after.sentBytes() - before.sentBytes()) / CHANGES / routers);
    }

    /** Returns whether a router has not yet applied a version. */
    private static boolean isBehind(Router router, long version) {
        return router.configurationVersion() < version;
    }

    /** Measures the cost of supervising engines. */
    private void measureByEngines(int engines) {
        try (LocalDeployment deployment = start(FEW_ROUTERS, engines)) {
            sleep(WARM_UP);
            double perRouter = (double) engines / deployment.routers().size();
            for (int i = 0; i < WINDOWS; i++) {
                MachineReadings before = MachineReadings.now();
                sleep(WINDOW);
                MachineReadings after = MachineReadings.now();
                double bytes = (after.sentBytes() - before.sentBytes()) / after.secondsSince(before) / FEW_ROUTERS;
                add("control-bytes-per-second-by-engines-per-router", perRouter, 2 * bytes);
                add(
                        "control-core-percent-by-engines-per-router",
                        perRouter,
                        PERCENT * after.coreSince(before) / FEW_ROUTERS);
            }
        }
    }

    /** Blocks for a duration. */
    private static void sleep(Duration duration) {
        Mono.delay(duration).block();
    }

    /** Adds a sample. */
    private void add(String series, double x, double y) {
        samples.add(new Sample(series, x, y));
    }
}
