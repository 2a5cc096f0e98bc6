package org.apricotstack.core.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.function.ToDoubleBiFunction;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.VirtualTime;

/** Simulates routers of three data centres in virtual time that send requests to the upstreams of one plain service. */
final class PlainUpstreamSimulation {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final String ROUTE = "route";
    private static final int DATA_CENTRES = 3;
    private static final int SLOTS = 6;
    private static final int MAX_ATTEMPTS = 2;
    private static final long NETWORK_MILLIS = 1;
    private static final long SIMULATED_MILLIS = 120_000;
    private static final double WORK_SPREAD = 0.5;
    private static final double LONG_SHARE = 0.01;
    private static final double LONG_FACTOR = 5;

    private final VirtualTime time = new VirtualTime();
    private final List<UpstreamModel> upstreams = new ArrayList<>();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<Long> latencies = new ArrayList<>();
    private final PlainLoad load;
    private final boolean learns;
    private final ToDoubleBiFunction<Integer, Long> slowdown;
    private final Random arrivals;
    private final Random work;
    private int arrived;
    private int inTime;

    /**
     * Creates a simulation.
     *
     * @param learns whether routers learn the speeds of upstreams
     * @param slowdown how many times as long the work of an upstream, by its index, takes at a time
     */
    PlainUpstreamSimulation(
            PlainLoad load, boolean learns, ToDoubleBiFunction<Integer, Long> slowdown, int routerCount, long seed) {
        this.load = load;
        this.learns = learns;
        this.slowdown = slowdown;
        this.arrivals = new Random(seed);
        this.work = new Random(seed + 1);
        for (int i = 0; i < load.upstreams(); i++) {
            upstreams.add(new UpstreamModel(i));
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new RouterModel(i % DATA_CENTRES));
        }
    }

    /** Plays the load. */
    PlainOutcome run() {
        scheduleArrival();
        time.run();
        long[] sorted = latencies.stream().mapToLong(Long::longValue).sorted().toArray();
        long late = sorted.length == 0 ? 0 : sorted[(int) (0.95 * (sorted.length - 1))];
        return new PlainOutcome(
                (double) inTime / arrived,
                late,
                upstreams.stream().map(upstream -> upstream.sent).toList(),
                routers.stream().mapToInt(router -> router.found).sum());
    }

    private void scheduleArrival() {
        long at = time.nowMillis() + Math.round(-Math.log(1 - arrivals.nextDouble()) * 1_000 / load.perSecond());
        if (at < SIMULATED_MILLIS) {
            time.at(at, () -> {
                arrived++;
                new RequestModel(routers.get(arrivals.nextInt(routers.size())), time.nowMillis()).send();
                scheduleArrival();
            });
        }
    }

    /** An upstream that runs a limited number of requests and queues the others. */
    private final class UpstreamModel {
        private final int index;
        private final UpstreamId id;
        private final Queue<Runnable> waiting = new ArrayDeque<>();
        private int running;
        private int sent;

        private UpstreamModel(int index) {
            this.index = index;
            this.id = new UpstreamId("upstream-" + index, 1);
        }

        private void arrive(Runnable onWorked) {
            waiting.add(onWorked);
            startNext();
        }

        private void startNext() {
            if (running < SLOTS && !waiting.isEmpty()) {
                running++;
                Runnable onWorked = waiting.remove();
                double millis = workMillis() * slowdown.applyAsDouble(index, time.nowMillis());
                time.at(time.nowMillis() + Math.round(millis), () -> {
                    running--;
                    onWorked.run();
                    startNext();
                });
            }
        }

        private double workMillis() {
            double variance = Math.log(1 + WORK_SPREAD * WORK_SPREAD);
            double millis = load.workMillis() * Math.exp(work.nextGaussian() * Math.sqrt(variance) - variance / 2);
            return work.nextDouble() < LONG_SHARE ? millis * LONG_FACTOR : millis;
        }
    }

    /** A router with what it knows of the upstreams. */
    private final class RouterModel {
        private final int dataCentre;
        private final ResponseTimeTable speeds = new ResponseTimeTable();
        private final OutlierDetector outlierDetector = new OutlierDetector();
        private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
        private int found;

        private RouterModel(int dataCentre) {
            this.dataCentre = dataCentre;
        }

        private UpstreamModel choose(UpstreamModel excluded, long remainingMillis) {
            long now = time.nowMillis();
            List<PlainCandidate> candidates = upstreams.stream()
                    .filter(upstream -> upstream != excluded)
                    .map(upstream -> new PlainCandidate(
                            upstream.id,
                            inFlight.getOrDefault(upstream.id, 0),
                            outlierDetector.failureProbability(upstream.id, now),
                            isNear(upstream),
                            speeds.slowdown(SERVICE, upstream.id, now),
                            speeds.expectedMillis(SERVICE, ROUTE, upstream.id)))
                    .toList();
            UpstreamId chosen = PlainUpstreamSelector.select(candidates, remainingMillis);
            return upstreams.stream()
                    .filter(upstream -> upstream.id.equals(chosen))
                    .findFirst()
                    .orElseThrow();
        }

        private boolean isNear(UpstreamModel upstream) {
            return upstream.index % DATA_CENTRES == dataCentre;
        }

        private void answered(UpstreamModel upstream, long millis, boolean success) {
            inFlight.merge(upstream.id, -1, Integer::sum);
            if (!success) {
                outlierDetector.failed(upstream.id, FailureKind.ERROR, time.nowMillis());
                return;
            }
            outlierDetector.succeeded(upstream.id);
            if (learns) {
                SpeedChange change = speeds.answered(SERVICE, ROUTE, upstream.id, millis, time.nowMillis());
                found += change == SpeedChange.SLOW ? 1 : 0;
            }
        }
    }

    /** A caller's request. */
    private final class RequestModel {
        private final RouterModel router;
        private final long arrivedMillis;
        private UpstreamModel last;
        private int attempts;

        private RequestModel(RouterModel router, long arrivedMillis) {
            this.router = router;
            this.arrivedMillis = arrivedMillis;
        }

        private void send() {
            long sentMillis = time.nowMillis();
            UpstreamModel upstream = router.choose(last, arrivedMillis + load.deadlineMillis() - sentMillis);
            last = upstream;
            attempts++;
            upstream.sent++;
            router.inFlight.merge(upstream.id, 1, Integer::sum);
            router.outlierDetector.trialStarted(upstream.id, sentMillis);
            router.speeds.sent(SERVICE, upstream.id, sentMillis);
            long oneWay = router.isNear(upstream) ? NETWORK_MILLIS : 2 * NETWORK_MILLIS;
            time.at(
                    sentMillis + oneWay,
                    () -> upstream.arrive(() -> time.at(time.nowMillis() + oneWay, () -> answered(sentMillis))));
        }

        private void answered(long sentMillis) {
            boolean success = work.nextDouble() >= load.errorShare();
            router.answered(last, time.nowMillis() - sentMillis, success);
            if (success) {
                long millis = time.nowMillis() - arrivedMillis;
                latencies.add(millis);
                inTime += millis <= load.targetMillis() ? 1 : 0;
            } else if (attempts < MAX_ATTEMPTS) {
                send();
            }
        }
    }

    /** Returns the slowdown of upstreams that are all of normal speed. */
    static ToDoubleBiFunction<Integer, Long> even() {
        return (upstream, nowMillis) -> 1;
    }

    /** Returns a slowdown of the named upstreams in the first part of each period. */
    static ToDoubleBiFunction<Integer, Long> slow(double factor, long slowMillis, long periodMillis, int... slow) {
        return (upstream, nowMillis) -> {
            boolean named = Arrays.stream(slow).anyMatch(index -> index == upstream);
            return named && nowMillis % periodMillis < slowMillis ? factor : 1;
        };
    }
}
