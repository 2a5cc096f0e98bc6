package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.gossip.GossipHub;
import reactor.core.publisher.Mono;

/** Measures the cost of gossip between the routers of one cell: heartbeats, and state updates of requests. */
final class GossipMeasurement {

    private static final List<Integer> ROUTERS = List.of(4, 8, 16, 32, 64);
    private static final int WINDOWS = 2;
    private static final int REQUESTS = 200;
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration WINDOW = Duration.ofSeconds(6);
    private static final Duration SETTLE_TIME = Duration.ofMillis(600);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(4);
    private static final int CAPACITY_PERCENT = 100;
    private static final double PERCENT = 100;
    private static final double MICROS_PER_SECOND = 1e6;

    private final List<Sample> samples = new ArrayList<>();

    /** Runs all measurements. */
    List<Sample> run() {
        for (int routers : ROUTERS) {
            List<GossipNode> fleet = new ArrayList<>();
            try {
                for (int i = 0; i < routers; i++) {
                    List<Address> seeds =
                            fleet.stream().limit(3).map(GossipNode::address).toList();
                    fleet.add(new GossipNode(i, seeds, CAPACITY_PERCENT));
                }
                sleep(WARM_UP);
                idle(routers);
                requests(fleet);
            } finally {
                fleet.forEach(GossipNode::close);
            }
        }
        return samples;
    }

    /** Measures the cost of heartbeats. */
    private void idle(int routers) {
        for (int i = 0; i < WINDOWS; i++) {
            MachineReadings before = MachineReadings.now();
            sleep(WINDOW);
            MachineReadings after = MachineReadings.now();
            double bytes = 2.0 * (after.sentBytes() - before.sentBytes()) / after.secondsSince(before) / routers;
            samples.add(new Sample("news-idle-bytes-per-second-by-routers", routers, bytes));
            double percent = PERCENT * after.coreSince(before) / routers;
            samples.add(new Sample("news-idle-core-percent-by-routers", routers, percent));
        }
    }

    /** Measures the additional cost of state updates of requests, per router of the cell. */
    private void requests(List<GossipNode> fleet) {
        List<GossipNode> activeRouters = fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
        MachineReadings start = MachineReadings.now();
        sleep(SETTLE_TIME);
        MachineReadings before = MachineReadings.now();
        double idleBytes = (before.sentBytes() - start.sentBytes()) / before.secondsSince(start);
        double idleCore = before.coreSince(start);
        for (int i = 0; i < REQUESTS; i++) {
            activeRouters.get(i % activeRouters.size()).announceRequest();
            sleep(REQUEST_INTERVAL);
        }
        sleep(SETTLE_TIME);
        MachineReadings after = MachineReadings.now();
        double seconds = after.secondsSince(before);
        double bytes = 2.0 * (after.sentBytes() - before.sentBytes() - idleBytes * seconds);
        double micros = (after.coreSince(before) - idleCore) * seconds * MICROS_PER_SECOND;
        int deliveries = REQUESTS * fleet.size();
        samples.add(new Sample("news-bytes-per-request-and-router-by-routers", fleet.size(), bytes / deliveries));
        samples.add(new Sample("news-cpu-micros-per-request-and-router-by-routers", fleet.size(), micros / deliveries));
    }

    /** Blocks for a duration. */
    private static void sleep(Duration duration) {
        Mono.delay(duration).block();
    }
}
