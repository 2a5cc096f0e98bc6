package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.VirtualTime;

/**
 * Simulates routers of three data centres in virtual time that report failures to each other while one upstream fails
 * for the callers of some data centres.
 */
final class ZoneFailureSimulation {

    private static final int DATA_CENTRES = 3;
    private static final int ROUTERS = 12;
    private static final double PER_SECOND = 120;
    private static final long ANSWER_MILLIS = 30;
    private static final long SIMULATED_MILLIS = 25_000;
    private static final double EJECTED = 0.9;

    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<UpstreamId> upstreams =
            List.of(new UpstreamId("upstream-0"), new UpstreamId("upstream-1"), new UpstreamId("upstream-2"));
    private final BiPredicate<Integer, Long> fails;
    private final FailureKind kind;
    private final double failingShare;
    private final long maxNewsMillis;
    private final double lostShare;
    private final Random random;
    private int failed;
    private int healthyChoices;
    private int healthyAvoided;

    /**
     * Creates a simulation.
     *
     * @param namesDataCentres whether routers know the data centres of reports
     * @param fails whether requests of a data centre, by its index, to the first upstream fail at a time
     * @param maxNewsMillis longest delay of a report
     * @param lostShare share of the reports that are lost
     */
    ZoneFailureSimulation(
            boolean namesDataCentres,
            BiPredicate<Integer, Long> fails,
            FailureKind kind,
            double failingShare,
            long maxNewsMillis,
            double lostShare,
            long seed) {
        this.fails = fails;
        this.kind = kind;
        this.failingShare = failingShare;
        this.maxNewsMillis = maxNewsMillis;
        this.lostShare = lostShare;
        this.random = new Random(seed);
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new RouterModel(i % DATA_CENTRES, namesDataCentres));
        }
    }

    /** Plays the load. */
    ZoneFailureSimulation run() {
        scheduleArrival();
        time.run();
        return this;
    }

    /** Returns the number of failed attempts. */
    int failed() {
        return failed;
    }

    /** Returns the share of the choices during the failure at which routers that it does not concern avoided it. */
    double wronglyAvoidedShare() {
        return (double) healthyAvoided / Math.max(1, healthyChoices);
    }

    private void scheduleArrival() {
        long at = time.nowMillis() + Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / PER_SECOND);
        if (at < SIMULATED_MILLIS) {
            time.at(at, () -> {
                routers.get(random.nextInt(ROUTERS)).send();
                scheduleArrival();
            });
        }
    }

    private boolean failsForSome() {
        return IntStream.range(0, DATA_CENTRES).anyMatch(index -> fails.test(index, time.nowMillis()));
    }

    /** A router with its health records. */
    private final class RouterModel {
        private final int index;
        private final DataCentreId dataCentre;
        private final OutlierDetector detector;
        private final Map<UpstreamId, Integer> inFlight = new HashMap<>();

        private RouterModel(int index, boolean namesDataCentres) {
            this.index = index;
            this.dataCentre = new DataCentreId("data-centre-" + index);
            this.detector = new OutlierDetector(namesDataCentres ? dataCentre : null);
        }

        private void send() {
            long sentMillis = time.nowMillis();
            if (failsForSome() && !fails.test(index, sentMillis)) {
                healthyChoices++;
                healthyAvoided += detector.failureProbability(upstreams.get(0), sentMillis) > EJECTED ? 1 : 0;
            }
            UpstreamId chosen = PlainUpstreamSelector.select(
                    upstreams.stream()
                            .map(id -> new PlainCandidate(
                                    id,
                                    inFlight.getOrDefault(id, 0),
                                    detector.failureProbability(id, sentMillis),
                                    upstreams.indexOf(id) == index,
                                    1,
                                    0))
                            .toList(),
                    1_000);
            inFlight.merge(chosen, 1, Integer::sum);
            detector.trialStarted(chosen, sentMillis);
            boolean unanswered = chosen.equals(upstreams.get(0))
                    && fails.test(index, sentMillis)
                    && random.nextDouble() < failingShare;
            time.at(sentMillis + ANSWER_MILLIS, () -> answered(chosen, sentMillis, unanswered));
        }

        private void answered(UpstreamId chosen, long sentMillis, boolean unanswered) {
            inFlight.merge(chosen, -1, Integer::sum);
            if (!unanswered) {
                detector.succeeded(chosen, sentMillis, time.nowMillis());
                return;
            }
            failed++;
            long avoidMillis = detector.failed(chosen, kind, time.nowMillis());
            if (avoidMillis > 0) {
                routers.stream()
                        .filter(router -> router != this)
                        .forEach(router -> report(router, chosen, avoidMillis));
            }
        }

        private void report(RouterModel router, UpstreamId upstream, long avoidMillis) {
            if (random.nextDouble() >= lostShare) {
                time.at(
                        time.nowMillis() + random.nextLong(maxNewsMillis + 1),
                        () -> router.detector.reportedByPeer(upstream, dataCentre, avoidMillis, time.nowMillis()));
            }
        }
    }
}
