package org.apricotstack.core.ratelimit;

/**
 * A simulated scenario: routers and an upstream that advertises a limit.
 *
 * @param routers number of active routers
 * @param perSecond the limit, in requests per second
 * @param demandPerSecond rate of requests that could be sent to the upstream, from all routers together
 * @param atOneRouter whether all requests arrive at one router
 * @param lostShare share of the messages between routers that are lost
 * @param faults the faults injected
 */
record LimitScenario(
        int routers,
        double perSecond,
        double demandPerSecond,
        boolean atOneRouter,
        double lostShare,
        RouterFaults faults) {

    /** Faults injected into the routers. */
    enum RouterFaults {
        NONE,
        /** A router is killed every three seconds and restarts after one second. */
        RESTARTS,
        /** The routers are partitioned into two halves for ten seconds. */
        SPLIT
    }

    static LimitScenario calm(int routers, double perSecond, double demandTimes) {
        return new LimitScenario(routers, perSecond, perSecond * demandTimes, false, 0, RouterFaults.NONE);
    }

    LimitScenario withDemandAtOneRouter() {
        return new LimitScenario(routers, perSecond, demandPerSecond, true, lostShare, faults);
    }

    LimitScenario with(double lost, RouterFaults happening) {
        return new LimitScenario(routers, perSecond, demandPerSecond, atOneRouter, lost, happening);
    }
}
