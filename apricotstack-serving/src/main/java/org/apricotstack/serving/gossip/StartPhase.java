package org.apricotstack.serving.gossip;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.HostId;

/** The first seconds of a router, in which it does not know yet what the others placed, and hurries to be heard. */
final class StartPhase {

    /** Time between two heartbeats in a small fleet, in milliseconds. */
    static final long HEARTBEAT_MILLIS = 500;

    /**
     * Time between two heartbeats of a router that has just started, in milliseconds. At the usual pace routers that
     * started together needed 1.8 s until each had heard of all others, and placed without each other's news meanwhile.
     */
    static final long YOUNG_HEARTBEAT_MILLIS = 100;

    /** Added for each known router, in milliseconds, so that none sends more than about 50 heartbeats a second. */
    static final long HEARTBEAT_MILLIS_EACH = 12;

    /**
     * Time after the start in which a router that was not told of placements by all others places in an order of its
     * own, in milliseconds; by then those that live have been heard, and the rest is gone.
     */
    static final long YOUNG_MILLIS = 3_000;

    private final long startedMillis;
    private final Set<HostId> toldBy = new HashSet<>();

    /** Begins the phase. */
    StartPhase(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /** Tells whether this router has started so lately that others may not have heard of it. */
    boolean isYoung(long nowMillis) {
        return nowMillis - startedMillis < YOUNG_MILLIS;
    }

    /** Notes that a router has told all its open placements. */
    void toldBy(HostId router) {
        toldBy.add(router);
    }

    /** Tells whether all known routers, this one among them, have told their placements, or would have by now. */
    boolean hasPeerPlacements(int knownRouters, long nowMillis) {
        return !isYoung(nowMillis) || toldBy.size() >= knownRouters - 1;
    }

    /** Returns the time between two heartbeats. */
    long heartbeatMillis(int knownRouters, long nowMillis) {
        return (isYoung(nowMillis) ? YOUNG_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS)
                + Math.max(0, knownRouters - 1) * HEARTBEAT_MILLIS_EACH;
    }
}
