package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.serving.gossip.GossipHub;
import reactor.core.publisher.Mono;

/**
 * Measures the propagation time of upstream crashes under a request: to active routers after each crash, to all others
 * after the third.
 */
final class SuspectGossipMeasurement {

    private static final List<Integer> ROUTERS = List.of(7, 30, 95);
    private static final int REQUESTS = 60;
    private static final int CRASHES = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration CRASH_INTERVAL = Duration.ofMillis(150);
    private static final int CAPACITY_PERCENT = 100;

    private final List<Sample> samples = new ArrayList<>();
    private final PropagationTimes<RequestTrait> times = new PropagationTimes<>();

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
                measure(fleet);
            } finally {
                fleet.forEach(GossipNode::close);
            }
        }
        return samples;
    }

    /** Announces requests under which upstreams crash, one by one, and records when each router receives the update. */
    private void measure(List<GossipNode> fleet) {
        fleet.forEach(router -> router.onCrashReported(times::received));
        List<GossipNode> activeRouters = fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
        activeRouters.forEach(GossipNode::announcePlacement);
        sleep(WARM_UP);
        announceCrashes(activeRouters, 1);
        samples.addAll(times.samples("first-end-known-millis", fleet.size()));
        announceCrashes(activeRouters, CRASHES);
        samples.addAll(times.samples("third-end-known-millis", fleet.size()));
    }

    /** Announces crashes under requests; the propagation of the last crash of each request is timed. */
    private void announceCrashes(List<GossipNode> activeRouters, int crashes) {
        times.clear();
        for (int i = 0; i < REQUESTS; i++) {
            RequestDigest request = new RequestDigest(crashes, i);
            GossipNode sender = activeRouters.get(i % activeRouters.size());
            for (int crash = 1; crash <= crashes; crash++) {
                if (crash == crashes) {
                    times.sent(request);
                }
                sender.announceCrash(request, new UpstreamId("i-" + crashes + "-" + i + "-" + crash), crash == CRASHES);
                sleep(CRASH_INTERVAL);
            }
        }
    }

    /** Blocks for a duration. */
    private static void sleep(Duration duration) {
        Mono.delay(duration).block();
    }
}
