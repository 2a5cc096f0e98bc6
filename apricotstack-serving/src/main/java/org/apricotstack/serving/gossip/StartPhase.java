package org.apricotstack.serving.gossip;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.HostId;

/**
 * The first seconds of a router, in which it does not know the placements of the others yet, and sends heartbeats more
 * often.
 */
final class StartPhase {

    /** Interval between heartbeats in a small fleet, in milliseconds. */
    static final long HEARTBEAT_MILLIS = 500;

    /**
     * Interval between heartbeats of a router that has just started, in milliseconds. At the regular interval, routers
     * that started together took 1.8 s to learn of each other, and meanwhile placed requests without each other's
     * state updates.
     */
    static final long STARTING_HEARTBEAT_MILLIS = 100;

    /**
     * Added to the interval for each known router, in milliseconds, so that no router sends more than about 50
     * heartbeats a second.
     */
    static final long HEARTBEAT_MILLIS_PER_ROUTER = 12;

    /**
     * Time after the start in which a router that has not received the placements of all others uses its own order of
     * engines, in milliseconds. After this time all live routers have reported, and the rest are dead.
     */
    static final long START_MILLIS = 3_000;

    private final long startedMillis;
    private final Set<HostId> placementsReportedBy = new HashSet<>();

    /** Starts the phase. */
    StartPhase(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /** Returns whether this router started so recently that others may not know it yet. */
    boolean isStarting(long nowMillis) {
        return nowMillis - startedMillis < START_MILLIS;
    }

    /** Records that a router has reported all its in-flight placements. */
    void placementsReportedBy(HostId router) {
        placementsReportedBy.add(router);
    }

    /** Returns whether all other known routers have reported their placements, or have had the time to. */
    boolean hasPeerPlacements(int knownRouters, long nowMillis) {
        return !isStarting(nowMillis) || placementsReportedBy.size() >= knownRouters - 1;
    }

    /** Returns the interval between heartbeats. */
    long heartbeatMillis(int knownRouters, long nowMillis) {
        return (isStarting(nowMillis) ? STARTING_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS)
                + Math.max(0, knownRouters - 1) * HEARTBEAT_MILLIS_PER_ROUTER;
    }
}
