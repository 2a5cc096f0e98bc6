package org.apricotstack.core.suspect;

/**
 * A scenario for a simulated fleet.
 *
 * @param routers number of routers that accept requests
 * @param repeatIntervalMillis time between two repeats of the request, in milliseconds
 * @param spread the routers at which the repeats arrive
 * @param gossipMillis maximum delay of a gossip message, in milliseconds
 * @param lostShare share of gossip messages that are lost until the next full state
 * @param faults the faults injected
 */
record SuspectScenario(
        int routers,
        long repeatIntervalMillis,
        Spread spread,
        long gossipMillis,
        double lostShare,
        RouterFaults faults) {

    /** The routers at which the repeats of the request arrive. */
    enum Spread {
        /** All arrive at one router. */
        ONE,
        /** Each arrives at all routers at the same time. */
        ALL,
        /** Each arrives at a random router. */
        ANY
    }

    /** Faults injected into the routers. */
    enum RouterFaults {
        /** No faults. */
        NONE,
        /** Routers restart one after the other with an empty table and receive the full state of the others. */
        RESTARTS,
        /** The routers are partitioned into two halves for some seconds and exchange their full state afterwards. */
        SPLIT
    }
}
