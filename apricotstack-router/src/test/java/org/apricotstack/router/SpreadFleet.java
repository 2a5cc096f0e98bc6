package org.apricotstack.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.fleet.FaultyNetwork;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.replication.ReplicationTopic;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Simulates routers that replicate configuration, with a seeded schedule of platform and network faults. */
final class SpreadFleet {

    private static final int STEP_MILLIS = 50;

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final Random random;
    private final FaultyNetwork network;
    private final SpreadPlatform platform;
    private final Map<HostId, SpreadNode> nodes = new TreeMap<>();
    private final Map<String, Long> servedByHost = new HashMap<>();
    private final List<String> reverts = new ArrayList<>();
    private final boolean partitions;
    private long incarnations = 1;

    SpreadFleet(long seed, int routers, boolean partitions) {
        this.random = new Random(seed);
        this.partitions = partitions;
        this.network = new FaultyNetwork(time, random);
        this.platform = new SpreadPlatform(time);
        for (int i = 0; i < routers; i++) {
            String document = "{\"dataCentre\":\"dc" + i % 3 + "\",\"callerAddress\":\"127.0.0.1:" + (i + 1)
                    + "\",\"peerAddress\":\"127.0.0.1:" + (i + 1) + "\"}";
            platform.publish(ReplicationTopic.ROSTER, "routers/r" + i, document);
        }
        platform.publish(ReplicationTopic.CONFIGURATION, "fleet/a", "good");
        for (int i = 0; i < routers; i++) {
            start(new HostId("r" + i));
        }
    }

    private void start(HostId host) {
        int index = Integer.parseInt(host.value().substring(1));
        ProcessId process = new ProcessId(host, incarnations++);
        nodes.put(host, new SpreadNode(process, new DataCentreId("dc" + index % 3), this, random));
    }

    /** Starts a new process on the host of one that has ended. */
    void restart(SpreadNode ended) {
        start(ended.process().host());
    }

    /** Waits until all routers have started, then runs a schedule of publications and faults. */
    void run(int steps, double faultShare) {
        advance(Duration.ofSeconds(5));
        for (int step = 0; step < steps; step++) {
            if (random.nextInt(10) == 0) {
                String body = random.nextInt(5) == 0 ? "bad" : "good";
                platform.publish(ReplicationTopic.CONFIGURATION, "fleet/a", body);
            }
            if (random.nextDouble() < faultShare) {
                fault();
            }
            advance(Duration.ofMillis(STEP_MILLIS));
        }
    }

    /** Publishes a version that the stale platform does not serve, and brings it to all routers. */
    void publishPastStale() {
        platform.publish(ReplicationTopic.CONFIGURATION, "fleet/a", "good");
        nodes.values().forEach(node -> node.adoptNewestOf(platform));
        advance(Duration.ofSeconds(1));
    }

    /** Restarts the first router while all others are suspended for the given time. */
    void restartWhilePeersAreSlow(Duration suspension) {
        SpreadNode first = nodes.values().iterator().next();
        first.timer().kill();
        start(first.process().host());
        nodes.values().stream()
                .filter(node -> !node.name().equals(first.name()))
                .forEach(node -> {
                    node.timer().pause();
                    time.schedule(() -> node.timer().resume(), suspension.toMillis(), TimeUnit.MILLISECONDS);
                });
    }

    /** Ends all faults, publishes a final valid version and returns it. */
    long settle() {
        network.heal();
        platform.setDown(false);
        platform.becomeFresh();
        nodes.values().forEach(node -> node.timer().resume());
        return platform.publish(ReplicationTopic.CONFIGURATION, "fleet/a", "good");
    }

    /** Advances the virtual time, and checks each process after every step. */
    void advance(Duration duration) {
        for (long passed = 0; passed < duration.toMillis(); passed += STEP_MILLIS) {
            time.advanceTimeBy(Duration.ofMillis(STEP_MILLIS));
            nodes.values().forEach(this::checkNode);
        }
    }

    /** Records a host that serves an older version than it or its previous process served before. */
    private void checkNode(SpreadNode node) {
        long version = node.checkVersion();
        if (!node.isServing()) {
            return;
        }
        Long before = servedByHost.put(node.name(), version);
        if (before != null && before > version) {
            reverts.add(node.process() + " serves " + version + " after " + before);
        }
    }

    private void fault() {
        SpreadNode node = randomNode();
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                node.timer().kill();
                start(node.process().host());
            }
            case 2 -> {
                node.timer().pause();
                time.schedule(() -> node.timer().resume(), 200 + random.nextInt(5_000), TimeUnit.MILLISECONDS);
            }
            case 3 -> platform.setDown(true);
            case 4 -> platform.becomeStale();
            case 5 -> {
                platform.setDown(false);
                platform.becomeFresh();
            }
            case 6 -> {
                if (partitions) {
                    network.cut(node.name(), randomNode().name());
                }
            }
            default -> network.heal();
        }
    }

    private SpreadNode randomNode() {
        return new ArrayList<>(nodes.values()).get(random.nextInt(nodes.size()));
    }

    SpreadNode node(HostId host) {
        return nodes.get(host);
    }

    Collection<SpreadNode> nodes() {
        return nodes.values();
    }

    List<String> reverts() {
        return reverts;
    }

    SpreadPlatform platform() {
        return platform;
    }

    FaultyNetwork network() {
        return network;
    }

    VirtualTimeScheduler time() {
        return time;
    }
}
