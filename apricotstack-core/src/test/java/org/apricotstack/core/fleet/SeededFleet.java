package org.apricotstack.core.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.dispatch.Work.PlainCall;
import org.apricotstack.core.entry.EntryRequest;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A seeded schedule of a few routers, upstreams and callers in virtual time, with pauses, crashes, network partitions,
 * duplicated messages and failing upstreams. Equal seeds give equal schedules.
 */
final class SeededFleet {

    private static final int ROUTERS = 4;
    private static final int STEP_MILLIS = 20;
    private static final FleetLimits LIMITS =
            new FleetLimits(4_000, 100_000, 1 << 20, 1_000, 1_000, 20_000, 100, 1_000, 1 << 30, 4, 1.0);

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final Random random;
    private final FaultyNetwork network;
    private final LedgerUpstreams upstreams;
    private final FleetConfiguration configuration = FleetConfigurations.small(1, LIMITS);
    private final SortedMap<HostId, FleetNode> nodes = new TreeMap<>();
    private final List<FleetCall> calls = new ArrayList<>();
    private final Roster roster;
    private long incarnations = 1;
    private boolean pausesEnabled = true;

    SeededFleet(long seed) {
        random = new Random(seed);
        network = new FaultyNetwork(time, random);
        upstreams = new LedgerUpstreams(time, random);
        SortedMap<HostId, RosterHost> hosts = new TreeMap<>();
        for (int i = 0; i < ROUTERS; i++) {
            HostId host = new HostId("r" + i);
            Address address = new Address("127.0.0.1", i + 1);
            hosts.put(host, new RosterHost(host, dataCentre(i), address, address, false));
        }
        roster = new Roster(1, hosts, Set.of());
        hosts.keySet().forEach(this::start);
    }

    private static DataCentreId dataCentre(int index) {
        return new DataCentreId(index < ROUTERS / 2 ? "dc1" : "dc2");
    }

    private void start(HostId host) {
        int index = Integer.parseInt(host.value().substring(1));
        FleetNode node = new FleetNode(new ProcessId(host, incarnations++), dataCentre(index), this, time);
        nodes.put(host, node);
        nodes.values().forEach(other -> other.addAlive(node.process()));
        nodes.values().forEach(other -> node.addAlive(other.process()));
    }

    /**
     * Runs a schedule: random calls and faults for a number of steps, then a fault-free period until everything has
     * ended.
     */
    void run(int steps, double faultShare) {
        upstreams.setFaults(faultShare / 2);
        network.duplicate(faultShare / 2);
        for (int step = 0; step < steps; step++) {
            if (random.nextInt(3) == 0) {
                call();
            }
            if (random.nextDouble() < faultShare) {
                injectFault();
            }
            time.advanceTimeBy(Duration.ofMillis(STEP_MILLIS));
        }
        network.heal();
        network.duplicate(0);
        upstreams.setFaults(0);
        nodes.values().forEach(node -> node.timer().resume());
        time.advanceTimeBy(LedgerUpstreams.longestLimit().multipliedBy(4));
    }

    /** Disables pauses, so that each call must end within its time limit. */
    void disablePauses() {
        pausesEnabled = false;
    }

    /** Sends a call of a random kind to a random router. */
    private void call() {
        boolean ticketed = random.nextBoolean();
        FleetCall call = new FleetCall(this, "call" + calls.size(), ticketed);
        calls.add(call);
        call.start();
    }

    /** Injects one random fault, or ends one. */
    private void injectFault() {
        FleetNode node = randomNode();
        switch (random.nextInt(5)) {
            case 0 -> {
                node.timer().kill();
                start(node.process().host());
            }
            case 1 -> {
                if (!pausesEnabled) {
                    return;
                }
                node.timer().pause();
                time.schedule(() -> node.timer().resume(), 100 + random.nextInt(4_000), TimeUnit.MILLISECONDS);
            }
            case 2 -> network.cut(node.name(), randomNode().name());
            case 3 -> network.heal();
            default -> node.timer().resume();
        }
    }

    FleetNode randomNode() {
        int index = random.nextInt(nodes.size());
        return nodes.values().stream().skip(index).findFirst().orElseThrow();
    }

    /** Returns the process that currently runs on a host. */
    FleetNode node(HostId host) {
        return nodes.get(host);
    }

    /** Returns a process if it is still alive, else {@code null}. */
    FleetNode nodeOf(ProcessId process) {
        FleetNode node = nodes.get(process.host());
        return node != null && node.process().equals(process) ? node : null;
    }

    MemberView viewOf(MembershipTable table) {
        return MemberView.of(1, roster, table);
    }

    /** Creates a request with the given body. */
    static EntryRequest request(String body, String ticket) {
        boolean plain = ticket != null;
        return new EntryRequest(
                FleetConfigurations.KEY_DIGEST,
                plain ? ServiceKind.PLAIN : ServiceKind.COMPLETION,
                plain ? "confirm" : "answer",
                plain ? 0 : 100,
                plain ? 0 : LedgerUpstreams.CHUNKS,
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                plain ? new PlainCall("POST", "/run", List.of()) : null,
                null,
                ticket);
    }

    List<FleetCall> calls() {
        return calls;
    }

    LedgerUpstreams upstreams() {
        return upstreams;
    }

    FaultyNetwork network() {
        return network;
    }

    FleetConfiguration configuration() {
        return configuration;
    }

    VirtualTimeScheduler time() {
        return time;
    }

    Random random() {
        return random;
    }
}
