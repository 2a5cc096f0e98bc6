package org.apricotstack.core.upstream;

/**
 * A simulated scenario: an upstream announces a drain while the platform is unavailable.
 *
 * @param routers number of active routers
 * @param requestsPerSecond request rate of all routers together, to two upstreams
 * @param lostShare share of gossip messages that are lost and replaced by the full state half a second later
 * @param faults the faults injected
 */
record DrainScenario(int routers, double requestsPerSecond, double lostShare, Faults faults) {

    /** Faults injected into the routers. */
    enum Faults {
        NONE,
        /** A router is killed every three seconds and restarts after one second. */
        RESTARTS,
        /** The routers are partitioned into two halves for ten seconds, starting before the drain. */
        SPLIT
    }
}
