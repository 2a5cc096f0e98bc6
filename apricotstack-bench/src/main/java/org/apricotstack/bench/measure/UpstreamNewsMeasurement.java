package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.serving.gossip.GossipHub;
import reactor.core.publisher.Mono;

/** Measures how long it takes until all routers know of what one of them read in an answer of an upstream. */
final class UpstreamNewsMeasurement {

    private static final List<Integer> ROUTERS = List.of(7, 30, 95);
    private static final int UPSTREAMS = 60;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration BETWEEN = Duration.ofMillis(500);
    private static final int CAPACITY_PERCENT = 100;

    private final String series;
    private final Subject subject;
    private final KnownTimes<UpstreamId> times = new KnownTimes<>();

    /** What routers tell each other. */
    interface Subject {

        /** Lets a router tell of an upstream. */
        void tell(NewsRouter teller, UpstreamId upstream);

        /** Does something once a router knows what was told of an upstream. */
        void whenKnown(NewsRouter router, UpstreamId upstream, Runnable then);
    }

    /** Creates a measurement with the name of its series. */
    UpstreamNewsMeasurement(String series, Subject subject) {
        this.series = series;
        this.subject = subject;
    }

    /** Measures rate limits that upstreams name. */
    static UpstreamNewsMeasurement ofLimits() {
        return new UpstreamNewsMeasurement("limit-known-millis", new Subject() {
            @Override
            public void tell(NewsRouter teller, UpstreamId upstream) {
                teller.tellLimit(upstream, 1);
            }

            @Override
            public void whenKnown(NewsRouter router, UpstreamId upstream, Runnable then) {
                router.whenLimited(upstream, then);
            }
        });
    }

    /** Measures drains that upstreams announce. */
    static UpstreamNewsMeasurement ofDrains() {
        return new UpstreamNewsMeasurement("drain-known-millis", new Subject() {
            @Override
            public void tell(NewsRouter teller, UpstreamId upstream) {
                teller.tellDrain(upstream);
            }

            @Override
            public void whenKnown(NewsRouter router, UpstreamId upstream, Runnable then) {
                router.whenDraining(upstream, then);
            }
        });
    }

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
                samples.addAll(times.samples(series, routers));
            } finally {
                fleet.forEach(NewsRouter::close);
            }
        }
        return samples;
    }

    /** Tells of upstreams, one after the other, and notes when each router knows. */
    private void measure(List<NewsRouter> fleet) {
        List<NewsRouter> deciding = fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
        deciding.forEach(NewsRouter::tellPlacement);
        pause(WARM_UP);
        times.clear();
        for (int i = 0; i < UPSTREAMS; i++) {
            UpstreamId upstream = new UpstreamId("i-" + i);
            NewsRouter teller = deciding.get(i % deciding.size());
            fleet.stream()
                    .filter(router -> router != teller)
                    .forEach(router -> subject.whenKnown(router, upstream, () -> times.known(upstream)));
            times.told(upstream);
            subject.tell(teller, upstream);
            pause(BETWEEN);
        }
    }

    /** Lets time pass. */
    private static void pause(Duration duration) {
        Mono.delay(duration).block();
    }
}
