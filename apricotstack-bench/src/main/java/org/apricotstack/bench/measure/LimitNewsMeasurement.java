package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.serving.news.NewsHub;
import reactor.core.publisher.Mono;

/** Measures how long it takes until all routers know of a rate limit that one of them read. */
final class LimitNewsMeasurement {

    private static final List<Integer> ROUTERS = List.of(7, 30, 95);
    private static final int LIMITS = 60;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration BETWEEN = Duration.ofMillis(500);
    private static final int CAPACITY_PERCENT = 100;

    private final KnownTimes<UpstreamId> times = new KnownTimes<>();

    /** Runs all measurements. */
    List<Sample> run() {
        List<Sample> samples = new ArrayList<>();
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
                samples.addAll(times.samples("limit-known-millis", routers));
            } finally {
                fleet.forEach(NewsRouter::close);
            }
        }
        return samples;
    }

    /** Tells of limits, one after the other, and notes when each router knows. */
    private void measure(List<NewsRouter> fleet) {
        List<NewsRouter> deciding = fleet.stream()
                .filter(router -> router.read(NewsHub::takesCallers))
                .toList();
        deciding.forEach(NewsRouter::tellPlacement);
        pause(WARM_UP);
        times.clear();
        for (int i = 0; i < LIMITS; i++) {
            UpstreamId upstream = new UpstreamId("i-" + i);
            NewsRouter teller = deciding.get(i % deciding.size());
            fleet.stream()
                    .filter(router -> router != teller)
                    .forEach(router -> router.whenLimited(upstream, () -> times.known(upstream)));
            times.told(upstream);
            teller.tellLimit(upstream, 1);
            pause(BETWEEN);
        }
    }

    /** Lets time pass. */
    private static void pause(Duration duration) {
        Mono.delay(duration).block();
    }
}
