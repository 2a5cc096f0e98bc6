package org.apricotstack.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotstack.core.id.DataCentreId;

/**
 * Orders the routers that check in turn whether the platform has published anything unknown.
 *
 * <p>The first router of each data centre comes first, then the second of each, so that a check that fails is followed
 * by one from elsewhere. As long as checks succeed, one call a second serves the whole fleet.
 */
public final class PlatformCheckers {

    /** Number of routers that check: three of each of three data centres. */
    public static final int CHECKERS = 9;

    /** Age of the fleet's knowledge at which the first router checks, in milliseconds. */
    public static final long CHECK_AGE_MILLIS = 1_000;

    /** Added to the age for each preceding router, in milliseconds; longer than a check and its announcement take. */
    public static final long AGE_PER_CHECKER_MILLIS = 100;

    private final EntryWeights weights = new EntryWeights();

    /**
     * Orders the routers that check.
     *
     * @param own this router
     * @param others the other routers
     * @return the routers, the first one to check first
     */
    public List<Peer> order(Peer own, Collection<Peer> others) {
        Map<DataCentreId, List<Peer>> byDataCentre = new TreeMap<>();
        add(own, byDataCentre);
        others.forEach(peer -> add(peer, byDataCentre));
        byDataCentre.values().forEach(peers -> peers.sort((one, other) -> EntryRouters.compare(one, other, weights)));
        List<Peer> ordered = new ArrayList<>();
        for (int rank = 0; rank < CHECKERS; rank++) {
            for (List<Peer> peers : byDataCentre.values()) {
                if (rank < peers.size() && ordered.size() < CHECKERS) {
                    ordered.add(peers.get(rank));
                }
            }
        }
        return ordered;
    }

    /** Adds a router that can serve callers. */
    private static void add(Peer peer, Map<DataCentreId, List<Peer>> byDataCentre) {
        if (peer.ready()) {
            byDataCentre
                    .computeIfAbsent(peer.dataCentre(), id -> new ArrayList<>())
                    .add(peer);
        }
    }

    /**
     * Returns at which age of its knowledge a router checks the platform.
     *
     * @param own this router
     * @param others the other routers
     * @return the age, in milliseconds; {@link Long#MAX_VALUE} if it never checks
     */
    public long checkAgeMillis(Peer own, Collection<Peer> others) {
        List<Peer> ordered = order(own, others);
        for (int i = 0; i < ordered.size(); i++) {
            if (ordered.get(i).process().equals(own.process())) {
                return CHECK_AGE_MILLIS + i * AGE_PER_CHECKER_MILLIS;
            }
        }
        return Long.MAX_VALUE;
    }
}
