package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.VirtualTime;

/**
 * Simulates routers in virtual time that send all their requests to one upstream, which rejects all requests for some
 * time.
 */
final class BackOffSimulation {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final long SIMULATED_MILLIS = 60_000;
    private static final long SHEDS_FROM_MILLIS = 5_000;
    private static final long SHEDS_UNTIL_MILLIS = 30_000;

    /** Maximum time from the upstream's response until the router has read it, in milliseconds. */
    private static final long RESPONSE_IN_FLIGHT_MILLIS = 500;

    private static final int MAX_INTERARRIVAL_MILLIS = 20;
    private static final int MAX_NETWORK_MILLIS = 4;
    private static final int MAX_RESPONSE_MILLIS = 400;

    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final Random random;
    private final long maxBackOffMillis;
    private int arrivedDuringBackOff;
    private int heldBackNeedlessly;

    /** Creates a simulation with back-offs of random length up to a maximum. */
    BackOffSimulation(int count, long maxBackOffMillis, long seed) {
        this.maxBackOffMillis = maxBackOffMillis;
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            routers.add(new RouterModel());
        }
    }

    /** Runs the simulation. */
    BackOffSimulation run() {
        for (long at = 0; at < SIMULATED_MILLIS; at += 1 + random.nextInt(MAX_INTERARRIVAL_MILLIS)) {
            time.at(at, () -> routers.get(random.nextInt(routers.size())).requestArrives());
        }
        time.run();
        return this;
    }

    /**
     * Returns the requests that arrived from a router more than half a second after the response that requested a
     * back-off, and before its end.
     */
    int arrivedDuringBackOff() {
        return arrivedDuringBackOff;
    }

    /** Returns the requests that a router held back although no requested back-off was in force. */
    int heldBackNeedlessly() {
        return heldBackNeedlessly;
    }

    /**
     * A back-off requested by a response of the upstream.
     *
     * @param answeredMillis time at which the upstream responded
     * @param readMillis time at which the router read the response
     * @param millis duration, in milliseconds
     */
    private record RequestedBackOff(long answeredMillis, long readMillis, long millis) {}

    /** A simulated router. */
    private final class RouterModel {
        private final BackOffTable table = new BackOffTable();
        private final List<RequestedBackOff> requestedBackOffs = new ArrayList<>();

        private void requestArrives() {
            long now = time.nowMillis();
            if (table.blockedMillis(UPSTREAM, now) == 0) {
                time.at(now + 1 + random.nextInt(MAX_NETWORK_MILLIS), this::upstreamReceives);
            } else if (requestedBackOffs.stream().noneMatch(backOff -> now < backOff.readMillis() + backOff.millis())) {
                heldBackNeedlessly++;
            }
        }

        private void upstreamReceives() {
            long now = time.nowMillis();
            if (requestedBackOffs.stream()
                    .anyMatch(backOff -> now > backOff.answeredMillis() + RESPONSE_IN_FLIGHT_MILLIS
                            && now < backOff.answeredMillis() + backOff.millis())) {
                arrivedDuringBackOff++;
            }
            if (now >= SHEDS_FROM_MILLIS && now < SHEDS_UNTIL_MILLIS) {
                long millis = 1 + (long) (random.nextDouble() * maxBackOffMillis);
                long readMillis = now + 1 + random.nextInt(MAX_RESPONSE_MILLIS);
                requestedBackOffs.add(new RequestedBackOff(now, readMillis, millis));
                time.at(readMillis, () -> table.backOffRequested(UPSTREAM, millis, time.nowMillis()));
            }
        }
    }
}
