package org.apricotstack.core.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotstack.core.id.DataCentreId;

/**
 * Chooses the routers that callers are sent to.
 *
 * <p>Each router that takes callers has to hear of each placement of all the others, so the news of a request cost as
 * many messages as there are such routers. In a large fleet few of them carry the whole load: the strongest of each
 * data centre, as many as the load there needs. All routers choose alike from what they hear of each other; where
 * their views differ for a moment, more routers are named, and none of them refuses.
 */
public final class EntryRouters {

    /**
     * Routers up to which all take callers: today's fleets of 6 and 7 and as many again, where one router less is a
     * large share of all. Other numbers were not measured.
     */
    static final int MAX_ROUTERS_ALL_ACTIVE = 16;

    /** Routers of a data centre that take callers at least, so that the loss of some is little felt. */
    static final int MIN_PER_DATA_CENTRE = 4;

    /**
     * Requests a second that one core is given. On a day of high load seven hosts used 25.6 s of processor time for
     * 1,131 prompts, starts and all else included: 23 ms each at most, so a core serves 44 at least.
     */
    static final double REQUESTS_PER_CORE = 30;

    private static final double PERCENT = 100;

    private EntryRouters() {}

    /**
     * Chooses routers.
     *
     * @param ready routers that can serve callers
     * @param spare how many more of each data centre to choose, as those that would be next
     * @param weights the order of equally strong routers
     * @return those that callers are sent to
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
     * @param routers routers of the fleet
     * @return whether they are more than all take callers in
     */
    public static boolean isLargeFleet(int routers) {
        return routers > MAX_ROUTERS_ALL_ACTIVE;
    }

    /** Chooses routers of one data centre: the strongest first, equal ones in an order of their own. */
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

    /** Puts the stronger router first, and equal ones in the order of their weights. */
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
