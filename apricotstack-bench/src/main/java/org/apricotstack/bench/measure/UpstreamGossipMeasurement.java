package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.serving.gossip.GossipHub;
import reactor.core.publisher.Mono;

/** Measures the propagation time of state that one router received in a response of an upstream. */
final class UpstreamGossipMeasurement {

    private static final List<Integer> ROUTERS = List.of(7, 30, 95);
    private static final int UPSTREAMS = 60;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(500);
    private static final int CAPACITY_PERCENT = 100;

    private final String series;
    private final UpdateKind updateKind;
    private final PropagationTimes<UpstreamId> times = new PropagationTimes<>();

    /** Kind of state update. */
    interface UpdateKind {

        /** Makes a router announce an update of an upstream. */
        void announce(GossipNode sender, UpstreamId upstream);

        /** Runs an action once a router has received the update of an upstream. */
        void whenReceived(GossipNode router, UpstreamId upstream, Runnable action);
    }

    /** Creates a measurement of one kind of update. */
    UpstreamGossipMeasurement(String series, UpdateKind updateKind) {
        this.series = series;
        this.updateKind = updateKind;
    }

    /** Measures rate limits announced by upstreams. */
    static UpstreamGossipMeasurement ofLimits() {
        return new UpstreamGossipMeasurement("limit-known-millis", new UpdateKind() {
            @Override
            public void announce(GossipNode sender, UpstreamId upstream) {
                sender.announceLimit(upstream, 1);
            }

            @Override
            public void whenReceived(GossipNode router, UpstreamId upstream, Runnable action) {
                router.whenLimited(upstream, action);
            }
        });
    }

    /** Measures drains announced by upstreams. */
    static UpstreamGossipMeasurement ofDrains() {
        return new UpstreamGossipMeasurement("drain-known-millis", new UpdateKind() {
            @Override
            public void announce(GossipNode sender, UpstreamId upstream) {
                sender.announceDrain(upstream);
            }

            @Override
            public void whenReceived(GossipNode router, UpstreamId upstream, Runnable action) {
                router.whenDraining(upstream, action);
            }
        });
    }

    /** Runs all measurements. */
    List<Sample> run() {
        List<Sample> samples = new ArrayList<>();
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
                samples.addAll(times.samples(series, routers));
            } finally {
                fleet.forEach(GossipNode::close);
            }
        }
        return samples;
    }

    /** Announces updates of upstreams one by one, and records when each router receives them. */
    private void measure(List<GossipNode> fleet) {
        List<GossipNode> activeRouters = fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
        activeRouters.forEach(GossipNode::announcePlacement);
        sleep(WARM_UP);
        times.clear();
        for (int i = 0; i < UPSTREAMS; i++) {
            UpstreamId upstream = new UpstreamId("i-" + i);
            GossipNode sender = activeRouters.get(i % activeRouters.size());
            fleet.stream()
                    .filter(router -> router != sender)
                    .forEach(router -> updateKind.whenReceived(router, upstream, () -> times.received(upstream)));
            times.sent(upstream);
            updateKind.announce(sender, upstream);
            sleep(UPDATE_INTERVAL);
        }
    }

    /** Blocks for a duration. */
    private static void sleep(Duration duration) {
        Mono.delay(duration).block();
    }
}
