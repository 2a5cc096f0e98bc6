package org.apricotstack.core.stop;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.suspect.VirtualTime;

/** A simulated caller: asks routers for addresses, caches them, and sends requests over kept and new connections. */
final class StopCaller {

    /** Routers that a caller asks for addresses before it goes on with the addresses that it has. */
    private static final int ASKED_ROUTERS = 3;

    /** Every third caller caches addresses for three times as long as it is told. */
    private static final int LONG_CACHE_FACTOR = 3;

    /** Attempts of one request: the first and one retry. */
    private static final int ATTEMPTS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final StopSimulation simulation;
    private final VirtualTime time;
    private final Random random;
    private final StopCounts counts;
    private final DataCentreId dataCentre;
    private final long cacheFactor;
    private final double requestsPerMilli;
    private List<Address> addresses = List.of();
    private long cachedUntilMillis;
    private StopSimulation.RouterModel kept;
    private int keptIncarnation;
    private final boolean plain;

    StopCaller(StopSimulation simulation, int number, double requestsPerSecond, boolean plain) {
        this.simulation = simulation;
        this.time = simulation.time;
        this.random = simulation.random;
        this.counts = simulation.counts;
        this.plain = plain;
        this.dataCentre = new DataCentreId("dc-" + number % StopSimulation.DATA_CENTRES);
        this.cacheFactor = number % LONG_CACHE_FACTOR == 0 ? LONG_CACHE_FACTOR : 1;
        this.requestsPerMilli = requestsPerSecond / MILLIS_PER_SECOND;
    }

    void scheduleNext() {
        long at = time.nowMillis() + 1_000 + simulation.exponential(1 / requestsPerMilli);
        if (at < StopSimulation.SIMULATED_MILLIS) {
            time.at(at, () -> {
                send(simulation.new RequestModel(plain));
                scheduleNext();
            });
        }
    }

    private void resolve() {
        counts.questions++;
        List<StopSimulation.RouterModel> nearest = new ArrayList<>(simulation.routers);
        Collections.shuffle(nearest, random);
        nearest.sort((one, other) ->
                Boolean.compare(!one.dataCentre.equals(dataCentre), !other.dataCentre.equals(dataCentre)));
        for (StopSimulation.RouterModel asked : nearest.subList(0, Math.min(ASKED_ROUTERS, nearest.size()))) {
            List<Address> answer = asked.up ? asked.addressesFor(dataCentre) : List.of();
            counts.emptyAnswers += asked.up && answer.isEmpty() ? 1 : 0;
            if (!answer.isEmpty()) {
                addresses = answer;
                cachedUntilMillis = time.nowMillis() + cacheFactor * asked.addressLifetimeMillis();
                return;
            }
        }
    }

    private StopSimulation.RouterModel choose(StopSimulation.RequestModel request) {
        if (time.nowMillis() >= cachedUntilMillis) {
            resolve();
        }
        boolean keptUsable = kept != null
                && kept.up
                && kept.incarnation == keptIncarnation
                && addresses.contains(kept.address())
                && !request.failed.contains(kept.address());
        if (keptUsable) {
            return kept;
        }
        List<Address> untried = addresses.stream()
                .filter(address -> !request.failed.contains(address))
                .toList();
        if (untried.isEmpty() && simulation.conditions.awaitsRetryAfter() && !request.failed.isEmpty()) {
            request.failed.clear();
            resolve();
            untried = addresses;
        }
        if (untried.isEmpty()) {
            return null;
        }
        Address chosen = untried.get(random.nextInt(untried.size()));
        return simulation.routers.stream()
                .filter(router -> router.address().equals(chosen))
                .findFirst()
                .orElseThrow();
    }

    private void send(StopSimulation.RequestModel request) {
        counts.attempts++;
        request.attempts++;
        StopSimulation.RouterModel router = choose(request);
        boolean repeated = request.rejected;
        request.rejected = false;
        boolean reached = router != null && router.up && !router.stalled();
        boolean taken = reached && router.takes(request);
        if (repeated) {
            counts.repeats++;
            counts.repeatsTaken += taken ? 1 : 0;
        }
        if (taken) {
            boolean closes = router.timeline.stopping();
            kept = closes ? null : router;
            keptIncarnation = router.incarnation;
            return;
        }
        if (!reached) {
            counts.noConnection++;
        }
        if (router != null) {
            request.failed.add(router.address());
        }
        if (request.attempts < ATTEMPTS) {
            long delayMillis =
                    simulation.conditions.awaitsRetryAfter() ? request.retryAfterMillis : StopSimulation.RETRY_MILLIS;
            time.at(time.nowMillis() + delayMillis, () -> send(request));
        } else {
            counts.unserved++;
        }
    }
}
