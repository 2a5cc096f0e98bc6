package org.apricotstack.core.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotstack.core.id.DataCentreId;

/**
 * Chooses the routers that callers are sent to.
 *
 * <p>Every active router receives every placement of all the others, so each request costs as many gossip messages as
 * there are active routers. In a large fleet, a few routers therefore carry the whole load: the ones with the most
 * capacity in each data centre, as many as the load there needs. All routers compute the same choice from each other's
 * heartbeats. While their views differ, more routers than necessary are chosen, and none of them refuses requests.
 */
public final class EntryRouters {

    /**
     * Largest fleet in which all routers take callers. It covers fleets of 6 and 7 routers and twice as many, where
     * each router is a large share of the capacity.
     */
    static final int MAX_ROUTERS_ALL_ACTIVE = 16;

    /** Minimum number of routers of a data centre that take callers, so that losing some of them matters little. */
    static final int MIN_PER_DATA_CENTRE = 4;

    /**
     * Requests per second that one core is given. Under high load, seven hosts used 25.6 s of processor time for 1,131
     * prompts, including start-up: at most 23 ms per prompt, so a core serves at least 44 per second.
     */
    static final double REQUESTS_PER_CORE = 30;

    private static final double PERCENT = 100;

    private EntryRouters() {}

    /**
     * Chooses the routers that take callers.
     *
     * @param ready routers that can serve callers
     * @param spare number of additional routers per data centre, the next ones in order
     * @param weights orders routers of equal capacity
     * @return the routers that callers are sent to
     */
    public static List<Peer> choose(List<Peer> ready, int spare, EntryWeights weights) {
        if (!isLargeFleet(ready.size())) {
            return ready;
        }
        Map<DataCentreId, List<Peer>> byDataCentre = new TreeMap<>();
        for (Peer peer : ready) {
            byDataCentre
                    .computeIfAbsent(peer.dataCentre(), id -> new ArrayList<>())
                    .add(peer);
        }
        List<Peer> chosen = new ArrayList<>();
        byDataCentre.forEach((dataCentre, peers) -> chosen.addAll(chooseInDataCentre(peers, spare, weights)));
        return chosen;
    }

    /**
     * Tells whether a fleet is so large that some of its routers take no callers.
     *
     * @param routers number of routers of the fleet
     * @return whether only some of them take callers
     */
    public static boolean isLargeFleet(int routers) {
        return routers > MAX_ROUTERS_ALL_ACTIVE;
    }

    /** Chooses routers of one data centre by capacity, and by weight among equals. */
    private static List<Peer> chooseInDataCentre(List<Peer> peers, int spare, EntryWeights weights) {
        double requestsPerSecond = 0;
        for (Peer peer : peers) {
            requestsPerSecond += peer.requestsPerSecond();
        }
        double neededPercent = PERCENT * requestsPerSecond / REQUESTS_PER_CORE;
        List<Peer> sorted = new ArrayList<>(peers);
        sorted.sort((one, other) -> compare(one, other, weights));
        int count = 0;
        double chosenPercent = 0;
        while (count < sorted.size() && (count < MIN_PER_DATA_CENTRE || chosenPercent < neededPercent)) {
            chosenPercent += sorted.get(count).capacityPercent();
            count++;
        }
        return sorted.subList(0, Math.min(sorted.size(), count + spare));
    }

    /** Orders routers by descending capacity, then by descending weight. */
    static int compare(Peer one, Peer other, EntryWeights weights) {
        int byCapacity = Integer.compare(other.capacityPercent(), one.capacityPercent());
        if (byCapacity != 0) {
            return byCapacity;
        }
        int byWeight = Long.compare(weights.of(other), weights.of(one));
        return byWeight != 0
                ? byWeight
                : one.process().host().compareTo(other.process().host());
    }
}
