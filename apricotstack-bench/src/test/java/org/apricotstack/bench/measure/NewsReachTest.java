package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.bench.deployment.LocalDeployment;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.gossip.GossipHub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Which routers of a large fleet are told of placements, with real routers' news over loopback. */
class NewsReachTest {

    /** One more than the largest fleet in which all routers take callers. */
    private static final int ROUTERS = 17;

    private static final int STRONG_PERCENT = 150;
    private static final int SMALL_PERCENT = 36;

    /** The least number of routers of a data centre that take callers, and one that stands by. */
    private static final int TAKING = 5;

    /** Requests in one beat that are surely more than one in two seconds. */
    private static final int STRAY_REQUESTS = 20;

    private final List<NewsRouter> fleet = new ArrayList<>();

    @AfterEach
    void close() {
        fleet.forEach(NewsRouter::close);
    }

    private void start(int number, int capacityPercent) {
        List<Address> seeds = fleet.stream().limit(3).map(NewsRouter::address).toList();
        fleet.add(new NewsRouter(number, seeds, capacityPercent));
    }

    /** Lists the routers that decide on requests. */
    private List<NewsRouter> deciding() {
        return fleet.stream()
                .filter(router -> router.read(GossipHub::takesCallers))
                .toList();
    }

    /** Tells whether the expected number of routers decide, and each of them knows all the others. */
    private boolean deciding(int expected) {
        List<NewsRouter> deciding = deciding();
        return deciding.size() == expected
                && deciding.stream().allMatch(router -> router.read(GossipHub::activePeers) == expected - 1);
    }

    /** Waits until a router that tells of placements can tell some others. */
    private static void awaitReceivers(NewsRouter teller, int expected) {
        LocalDeployment.await(
                "streams to " + expected + " routers are open",
                () -> teller.read(GossipHub::placementReceivers) == expected);
    }

    /**
     * Symptom: processor time and bytes grow with the square of the fleet. Sequence: each router tells all others of
     * each placement. Cause: all were told, whether or not they decide on requests.
     *
     * <p>And the other way round: a router that callers reach though they were not sent there has to hear of
     * placements, or it sends prompts to engines that are full.
     */
    @Test
    void tellsOnlyRoutersThatDecideOnRequests() {
        start(0, SMALL_PERCENT);
        for (int i = 1; i < ROUTERS; i++) {
            start(i, STRONG_PERCENT);
        }
        LocalDeployment.await(
                "all routers agree on who takes callers",
                () -> fleet.stream().allMatch(router -> router.read(GossipHub::knownRouters) == ROUTERS)
                        && deciding(TAKING));
        assertThat(fleet.stream()
                        .mapToInt(router -> router.read(GossipHub::streams))
                        .sum())
                .as("streams before the first placement")
                .isZero();
        NewsRouter small = fleet.get(0);
        NewsRouter teller = deciding().get(0);
        teller.tellPlacement();
        awaitReceivers(teller, TAKING - 1);
        LocalDeployment.await("the others that take callers have heard of it", () -> deciding().stream()
                .filter(router -> router != teller)
                .allMatch(router -> router.read(GossipHub::placementsReceived) == 1));

        for (int i = 0; i < STRAY_REQUESTS; i++) {
            small.tellRequest();
        }
        LocalDeployment.await("the small router is told too", () -> deciding(TAKING + 1));
        awaitReceivers(teller, TAKING);
        teller.tellRequest();
        LocalDeployment.await(
                "the small router hears of placements", () -> small.read(GossipHub::placementsReceived) > 1);
        assertThat(small.read(GossipHub::placementsReceived)).isEqualTo(2);
    }

    /**
     * Symptom: a router that was restarted sends its first prompts to engines that are full. Sequence: it starts while
     * others run requests, of which it was told nothing. Cause: only placements made from then on were told.
     */
    @Test
    void tellsARouterThatStartsLaterOfPlacementsThatHaveNotEnded() {
        start(0, STRONG_PERCENT);
        NewsRouter teller = fleet.get(0);
        teller.tellPlacement();
        teller.tellPlacement();
        start(1, STRONG_PERCENT);
        LocalDeployment.await(
                "the second router has heard of both placements",
                () -> fleet.get(1).read(GossipHub::placementsReceived) >= 2);
        assertThat(fleet.get(1).read(GossipHub::placementsReceived)).isEqualTo(2);
    }
}
