package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.bench.deployment.LocalDeployment;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.gossip.GossipHub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks which routers of a large fleet receive placements, with the real gossip protocol over loopback. */
class PlacementGossipTest {

    /** One more than the largest fleet in which all routers are active. */
    private static final int ROUTERS = 17;

    private static final int STRONG_PERCENT = 150;
    private static final int SMALL_PERCENT = 36;

    /** Minimum number of active routers of a data centre, plus one in reserve. */
    private static final int ACTIVE = 5;

    /** Number of requests within one heartbeat interval that reliably exceeds one request in two seconds. */
    private static final int STRAY_REQUESTS = 20;

    private final List<GossipNode> fleet = new ArrayList<>();

    @AfterEach
    void close() {
        fleet.forEach(GossipNode::close);
    }

    private void start(int number, int capacityPercent) {
        List<Address> seeds = fleet.stream().limit(3).map(GossipNode::address).toList();
        fleet.add(new GossipNode(number, seeds, capacityPercent));
    }

    /** Returns the active routers. */
    private List<GossipNode> activeRouters() {
        return fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
    }

    /** Returns whether the expected number of routers is active, and each of them knows all other active routers. */
    private boolean activeRouters(int expected) {
        List<GossipNode> activeRouters = activeRouters();
        return activeRouters.size() == expected
                && activeRouters.stream().allMatch(router -> router.read(GossipHub::activePeers) == expected - 1);
    }

    /** Waits until a router has open streams for placements to the expected number of routers. */
    private static void awaitReceivers(GossipNode sender, int expected) {
        LocalDeployment.await(
                "streams to " + expected + " routers are open",
                () -> sender.read(GossipHub::placementReceivers) == expected);
    }

    /**
     * Guards against CPU time and traffic that grow with the square of the fleet size, because each router sends every
     * placement to all others, active or not.
     *
     * <p>Conversely, a standby router that callers reach nevertheless has to receive placements, or it sends prompts to
     * engines that are full.
     */
    @Test
    void sendsPlacementsToActiveRoutersOnly() {
        start(0, SMALL_PERCENT);
        for (int i = 1; i < ROUTERS; i++) {
            start(i, STRONG_PERCENT);
        }
        LocalDeployment.await(
                "all routers agree on the active routers",
                () -> fleet.stream().allMatch(router -> router.read(GossipHub::knownRouters) == ROUTERS)
                        && activeRouters(ACTIVE));
        assertThat(fleet.stream()
                        .mapToInt(router -> router.read(GossipHub::streams))
                        .sum())
                .as("streams before the first placement")
                .isZero();
        GossipNode small = fleet.get(0);
        GossipNode sender = activeRouters().get(0);
        sender.announcePlacement();
        awaitReceivers(sender, ACTIVE - 1);
        LocalDeployment.await("the other active routers have received it", () -> activeRouters().stream()
                .filter(router -> router != sender)
                .allMatch(router -> router.read(GossipHub::placementsReceived) == 1));

        for (int i = 0; i < STRAY_REQUESTS; i++) {
            small.announceRequest();
        }
        LocalDeployment.await("the small router has become active", () -> activeRouters(ACTIVE + 1));
        awaitReceivers(sender, ACTIVE);
        sender.announceRequest();
        LocalDeployment.await(
                "the small router receives placements", () -> small.read(GossipHub::placementsReceived) > 1);
        assertThat(small.read(GossipHub::placementsReceived)).isEqualTo(2);
    }

    /**
     * Guards against a restarted router that sends its first prompts to engines that are full, because it receives only
     * new placements and not those of requests that other routers are already running.
     */
    @Test
    void sendsOpenPlacementsToARouterThatStartsLater() {
        start(0, STRONG_PERCENT);
        GossipNode sender = fleet.get(0);
        sender.announcePlacement();
        sender.announcePlacement();
        start(1, STRONG_PERCENT);
        LocalDeployment.await(
                "the second router has received both placements",
                () -> fleet.get(1).read(GossipHub::placementsReceived) >= 2);
        assertThat(fleet.get(1).read(GossipHub::placementsReceived)).isEqualTo(2);
    }
}
