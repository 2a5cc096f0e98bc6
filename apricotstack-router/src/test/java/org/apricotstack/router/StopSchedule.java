package org.apricotstack.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.id.HostId;
import org.apricotstack.router.SpreadNode.Arrival;

/**
 * A seeded schedule in virtual time: the routers of a fleet stop and restart in a series that may overlap, while
 * callers ask for addresses, keep them for as long as they were told, and send requests.
 */
final class StopSchedule {

    private static final int CALLERS = 12;
    private static final int MAX_REQUEST_GAP_MILLIS = 600;
    private static final int MAX_DELAY_MILLIS = 10;
    private static final int MAX_ASKING_MILLIS = 400;
    private static final int MAX_TICKET_MILLIS = 400;
    private static final int MAX_RUN_MILLIS = 10_000;
    private static final int MAX_STOP_GAP_MILLIS = 20_000;
    private static final int STOPS = 8;
    private static final long KEEP_MILLIS = FleetLimits.DEFAULT.entryKeepMillis();
    private static final Duration START = Duration.ofSeconds(5);
    private static final Duration SETTLE = Duration.ofSeconds(90);

    private final SpreadFleet fleet;
    private final Random random;
    private final List<String> refused = new ArrayList<>();
    private final List<String> cut = new ArrayList<>();
    private final List<SpreadNode> stopping = new ArrayList<>();
    private long taken;
    private long takenWhileLeaving;

    StopSchedule(long seed, int routers) {
        fleet = new SpreadFleet(seed, routers, false);
        random = new Random(seed);
    }

    /** Runs the schedule until all stops have had time to end. */
    void run() {
        fleet.advance(START);
        for (int i = 0; i < CALLERS; i++) {
            new Caller(i).next();
        }
        for (int i = 0; i < STOPS; i++) {
            stopOne();
            fleet.advance(Duration.ofMillis(random.nextInt(MAX_STOP_GAP_MILLIS)));
        }
        fleet.advance(SETTLE);
    }

    /** Stops a router that serves, if at least one other remains. */
    private void stopOne() {
        List<SpreadNode> serving = fleet.nodes().stream()
                .filter(node -> node.isServing() && !stopping.contains(node))
                .toList();
        if (serving.size() < 2) {
            return;
        }
        SpreadNode node = serving.get(random.nextInt(serving.size()));
        stopping.add(node);
        node.drain(() -> ended(node));
    }

    /** Records the requests that the end of a process cuts, and restarts its host. */
    private void ended(SpreadNode node) {
        if (node.open() > 0) {
            cut.add(node.process() + " ended with " + node.open() + " requests");
        }
        stopping.remove(node);
        fleet.restart(node);
    }

    private void after(int maxMillis, Runnable task) {
        fleet.time().schedule(task, 1 + random.nextInt(maxMillis), TimeUnit.MILLISECONDS);
    }

    private long nowMillis() {
        return fleet.time().now(TimeUnit.MILLISECONDS);
    }

    long taken() {
        return taken;
    }

    long takenWhileLeaving() {
        return takenWhileLeaving;
    }

    List<String> refused() {
        return refused;
    }

    List<String> cut() {
        return cut;
    }

    List<SpreadNode> runningStops() {
        return stopping;
    }

    /** A caller that keeps the addresses of an entry answer from the time at which it receives the answer. */
    private final class Caller {
        private final String ip;
        private List<HostId> addresses;
        private long expiresMillis;
        private boolean asking;
        private long sent;

        private Caller(int index) {
            ip = "caller-" + index;
            addresses = new ArrayList<>(
                    fleet.nodes().stream().map(node -> node.process().host()).toList());
        }

        /** Sends a request and schedules the next one. */
        private void next() {
            if (nowMillis() >= expiresMillis && !asking) {
                ask();
            }
            // Requests that come while the caller asks use the addresses that it has.
            HostId address = addresses.get((int) (sent++ % addresses.size()));
            if (random.nextInt(3) == 0) {
                sendWithTicket(address);
            } else {
                after(MAX_DELAY_MILLIS, () -> arrive(address, "request", random.nextInt(MAX_RUN_MILLIS)));
            }
            after(MAX_REQUEST_GAP_MILLIS, this::next);
        }

        /** Asks a router for addresses. */
        private void ask() {
            HostId from = addresses.get(random.nextInt(addresses.size()));
            asking = true;
            after(MAX_ASKING_MILLIS, () -> {
                SpreadNode node = fleet.node(from);
                List<HostId> answer = node.timer().isDead() ? List.of() : node.entries(ip);
                after(MAX_DELAY_MILLIS, () -> receive(answer));
            });
        }

        /** Keeps an answer; without one, the next request asks again. */
        private void receive(List<HostId> answer) {
            asking = false;
            if (!answer.isEmpty()) {
                addresses = answer;
                expiresMillis = nowMillis() + KEEP_MILLIS;
            }
        }

        /** Fetches a ticket, and sends the call only after that. */
        private void sendWithTicket(HostId address) {
            after(MAX_DELAY_MILLIS, () -> {
                SpreadNode issuer = fleet.node(address);
                if (arrive(address, "ticket", 0) == Arrival.TAKEN) {
                    after(MAX_TICKET_MILLIS, () -> spend(issuer, address));
                }
            });
        }

        /** Sends the call with the ticket, which is valid only while its issuer runs. */
        private void spend(SpreadNode issuer, HostId address) {
            if (issuer.timer().isDead()) {
                cut.add("ticket of " + ip + ", issued by " + issuer.process());
            } else {
                arrive(address, "call", random.nextInt(MAX_RUN_MILLIS));
            }
        }

        private Arrival arrive(HostId address, String kind, int runMillis) {
            SpreadNode node = fleet.node(address);
            boolean leaving = stopping.contains(node);
            Arrival arrival = node.arrive(ip + "-" + kind + "-" + sent, Duration.ofMillis(runMillis));
            if (arrival == Arrival.REFUSED) {
                refused.add(kind + " of " + ip + " at " + node.process() + " at " + nowMillis());
            } else if (arrival == Arrival.TAKEN) {
                taken++;
                takenWhileLeaving += leaving ? 1 : 0;
            }
            return arrival;
        }
    }
}
