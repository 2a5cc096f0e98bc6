package org.apricotstack.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.FleetSize;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;

/**
 * Routers in virtual time that retry requests of one service, most of whose attempts fail, while routers are killed,
 * started, added, partitioned and stalled.
 */
final class RetryBudgetSimulation {

    static final double RATIO = 0.2;

    static final long WINDOW_MILLIS = 10_000;

    private static final long STEP_MILLIS = 20;

    private static final long START_HEARTBEAT_MILLIS = 100;

    private static final long HEARTBEAT_MILLIS = 500;

    private static final long HEARTBEAT_MILLIS_PER_ROUTER = 12;

    private static final long START_MILLIS = 3_000;

    private static final int SEEDS = 3;

    private static final int ADDRESSES_IN_HEARTBEAT = 16;

    private static final int MAX_RETRIES = 2;

    /** Time after which callers give up requests that a stalled router has not read, in milliseconds. */
    private static final long CALLER_PATIENCE_MILLIS = 1_000;

    private final RetryBudgetScenario scenario;
    private final Random random;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> repeats = new ArrayList<>();
    private long nowMillis;

    RetryBudgetSimulation(RetryBudgetScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            addHost();
        }
    }

    /** Plays the scenario. */
    RetryBudgetSimulation play() {
        for (nowMillis = 0; nowMillis < scenario.endMillis(); nowMillis += STEP_MILLIS) {
            disturb();
            hosts.forEach(Host::step);
            sendRequests();
        }
        return this;
    }

    /** Returns the number of retries that were sent. */
    int retries() {
        return repeats.size();
    }

    /** Returns the largest number of retries beyond the budget in any window; negative if all are within it. */
    double worstExcess() {
        double worst = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < repeats.size(); i++) {
            long start = repeats.get(i);
            int count = firstAtOrAfter(repeats, start + WINDOW_MILLIS) - i;
            worst = Math.max(worst, count - allowed(start));
        }
        return worst;
    }

    /** Returns the retries that are allowed in the window that starts at the given time. */
    private double allowed(long start) {
        long half = WINDOW_MILLIS / 2;
        int most = Math.max(requestsFrom(start), Math.max(requestsFrom(start - half), requestsFrom(start - 2 * half)));
        return RATIO * most + scenario.slack();
    }

    private int requestsFrom(long start) {
        return firstAtOrAfter(requests, start + WINDOW_MILLIS) - firstAtOrAfter(requests, start);
    }

    private static int firstAtOrAfter(List<Long> sorted, long time) {
        int low = 0;
        int high = sorted.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (sorted.get(middle) < time) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private void addHost() {
        hosts.add(new Host(hosts.size()));
    }

    private boolean happens(double perSecond) {
        return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
    }

    private void disturb() {
        if (happens(scenario.killsOfAllPerSecond())) {
            hosts.forEach(Host::kill);
        }
        if (happens(scenario.killsOfSomePerSecond())) {
            double share = random.nextDouble();
            hosts.stream().filter(host -> random.nextDouble() < share).forEach(Host::kill);
        }
        if (happens(scenario.stallsPerSecond())) {
            double share = random.nextDouble();
            long until = nowMillis + 200 + random.nextInt(4_000);
            hosts.stream().filter(host -> random.nextDouble() < share).forEach(host -> host.stalledUntil = until);
        }
        if (happens(scenario.partitionsPerSecond())) {
            int parts = 1 + random.nextInt(3);
            hosts.forEach(host -> host.part = random.nextInt(parts));
        }
        if (happens(scenario.addedPerSecond()) && hosts.size() < 2 * scenario.routers()) {
            addHost();
        }
    }

    private void sendRequests() {
        List<Host> up = hosts.stream().filter(host -> host.process != null).toList();
        double expected = scenario.requestsPerSecond() * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            requests.add(nowMillis);
            if (!up.isEmpty()) {
                up.get(random.nextInt(up.size())).waiting.add(nowMillis);
            }
        }
    }

    private boolean attemptFails() {
        boolean failing = nowMillis % scenario.phaseMillis() > scenario.phaseMillis() / 4;
        return failing && random.nextDouble() < 0.9;
    }

    /** A host, whose process may be down. */
    private final class Host {

        private final int index;
        private final HostId id;
        private final Address address;
        private RouterProcess process;
        private long startsAtMillis;
        private long stalledUntil;
        private final Deque<Long> waiting = new ArrayDeque<>();
        private int part;

        private Host(int index) {
            this.index = index;
            this.id = new HostId("host-" + index);
            this.address = new Address("10.0.0." + index, 7_000);
            this.startsAtMillis = nowMillis + random.nextInt(300);
        }

        private void kill() {
            if (process != null) {
                process = null;
                waiting.clear();
                startsAtMillis = nowMillis + 300 + random.nextInt(1_200);
            }
        }

        private void step() {
            if (process == null && nowMillis >= startsAtMillis) {
                process = new RouterProcess(this);
            }
            if (process != null && nowMillis >= stalledUntil) {
                process.step();
            }
        }

        private boolean reaches(Host other) {
            return part == other.part && other.process != null && nowMillis >= other.stalledUntil;
        }
    }

    /** One start of a router. */
    private final class RouterProcess {

        private final Host host;
        private final PeerTable peers = new PeerTable();
        private final FleetRetryBudget budget;
        private final long startedMillis = nowMillis;
        private long nextHeartbeatMillis = nowMillis;
        private int nextAddress;

        private RouterProcess(Host host) {
            this.host = host;
            peers.addAddress(host.address);
            List<Address> seeds =
                    hosts.stream().limit(SEEDS).map(seed -> seed.address).toList();
            seeds.forEach(peers::addAddress);
            FleetSize fleetSize = new FleetSize(peers, nowMillis);
            fleetSize.addSeeds(
                    seeds.stream().filter(seed -> !seed.equals(host.address)).toList());
            budget = new FleetRetryBudget(RATIO, WINDOW_MILLIS, () -> fleetSize.share(scenario.slack(), nowMillis));
        }

        private void step() {
            peers.expire(nowMillis);
            if (nowMillis >= nextHeartbeatMillis) {
                sendHeartbeats();
            }
            while (!host.waiting.isEmpty()) {
                if (nowMillis - host.waiting.poll() < CALLER_PATIENCE_MILLIS) {
                    runRequest();
                }
            }
        }

        private void sendHeartbeats() {
            boolean starting = nowMillis - startedMillis < START_MILLIS;
            List<Address> known = List.copyOf(peers.addresses());
            nextHeartbeatMillis = nowMillis
                    + (starting ? START_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS)
                    + HEARTBEAT_MILLIS_PER_ROUTER * (known.size() - 1);
            List<Address> included = new ArrayList<>();
            for (int i = 0; i < Math.min(ADDRESSES_IN_HEARTBEAT, known.size()); i++) {
                included.add(known.get((nextAddress + i) % known.size()));
            }
            nextAddress += included.size();
            for (Host other : hosts) {
                if (other != host && known.contains(other.address) && host.reaches(other)) {
                    other.process.receive(this, included);
                }
            }
        }

        private void receive(RouterProcess from, List<Address> included) {
            peers.recordHeartbeat(from.peer(), nowMillis);
            included.forEach(peers::addAddress);
        }

        private Peer peer() {
            return new Peer(
                    new ProcessId(host.id, startedMillis),
                    new DataCentreId("dc-" + host.index % 3),
                    host.address,
                    host.address,
                    true,
                    1,
                    1,
                    100,
                    1,
                    true,
                    nextHeartbeatMillis - nowMillis);
        }

        private void runRequest() {
            budget.request(nowMillis);
            for (int i = 0; i < MAX_RETRIES && attemptFails() && budget.trySpend(nowMillis); i++) {
                repeats.add(nowMillis);
            }
        }
    }
}
