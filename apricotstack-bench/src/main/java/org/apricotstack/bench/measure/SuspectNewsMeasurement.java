package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.serving.gossip.GossipHub;
import reactor.core.publisher.Mono;

/**
 * Measures how long it takes until all routers know that an upstream ended under a request: those that decide on
 * requests after each end, all others after the third.
 */
final class SuspectNewsMeasurement {

    private static final List<Integer> ROUTERS = List.of(7, 30, 95);
    private static final int REQUESTS = 60;
    private static final int ENDS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration BETWEEN = Duration.ofMillis(150);
    private static final int CAPACITY_PERCENT = 100;

    private final List<Sample> samples = new ArrayList<>();
    private final KnownTimes<RequestDigest> times = new KnownTimes<>();

    /** Runs all measurements. */
    List<Sample> run() {
        for (int routers : ROUTERS) {
            List<NewsRouter> fleet = new ArrayList<>();
            try {
                for (int i = 0; i < routers; i++) {
                    List<Address> seeds =
                            fleet.stream().limit(3).map(NewsRouter::address).toList();
                    fleet.add(new NewsRouter(i, seeds, CAPACITY_PERCENT));
                }
                pause(WARM_UP);
                measure(fleet);
            } finally {
                fleet.forEach(NewsRouter::close);
            }
        }
        return samples;
    }

    /** Tells of requests under which upstreams end, one after the other, and notes when each router knows. */
    private void measure(List<NewsRouter> fleet) {
        fleet.forEach(router -> router.whenHeardOfEnd(times::known));
        List<NewsRouter> deciding = fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
        deciding.forEach(NewsRouter::tellPlacement);
        pause(WARM_UP);
        tell(deciding, 1);
        samples.addAll(times.samples("first-end-known-millis", fleet.size()));
        tell(deciding, ENDS);
        samples.addAll(times.samples("third-end-known-millis", fleet.size()));
    }

    /** Lets upstreams end under requests, and tells of the last end only once the others are known. */
    private void tell(List<NewsRouter> deciding, int ends) {
        times.clear();
        for (int i = 0; i < REQUESTS; i++) {
            RequestDigest request = new RequestDigest(ends, i);
            NewsRouter teller = deciding.get(i % deciding.size());
            for (int end = 1; end <= ends; end++) {
                if (end == ends) {
                    times.told(request);
                }
                teller.tellEnd(request, new UpstreamId("i-" + ends + "-" + i + "-" + end), end == ENDS);
                pause(BETWEEN);
            }
        }
    }

    /** Lets time pass. */
    private static void pause(Duration duration) {
        Mono.delay(duration).block();
    }
}
