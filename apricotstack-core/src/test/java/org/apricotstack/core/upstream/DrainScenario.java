package org.apricotstack.core.upstream;

/**
 * What routers and an upstream that announces its drain go through while the platform does not answer.
 *
 * @param routers routers that decide on requests
 * @param requestsPerSecond requests of all routers together, to two upstreams
 * @param lostShare share of the news between routers that come only with all news, half a second later
 * @param faults what happens to routers
 */
record DrainScenario(int routers, double requestsPerSecond, double lostShare, Faults faults) {

    /** What happens to routers. */
    enum Faults {
        NONE,
        /** A router is killed every three seconds and is back after one. */
        RESTARTS,
        /** Two halves do not hear of each other for ten seconds, from before the drain on. */
        SPLIT
    }
}
