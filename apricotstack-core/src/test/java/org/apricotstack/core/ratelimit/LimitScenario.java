package org.apricotstack.core.ratelimit;

/**
 * What routers and an upstream that names a limit go through.
 *
 * @param routers routers that decide on requests
 * @param perSecond the limit
 * @param demandPerSecond requests that could be sent to the upstream, from all routers together
 * @param atOneRouter whether all requests come to one router
 * @param lostShare share of the messages between routers that are lost
 * @param faults what happens to routers
 */
record LimitScenario(
        int routers,
        double perSecond,
        double demandPerSecond,
        boolean atOneRouter,
        double lostShare,
        RouterFaults faults) {

    /** What happens to routers. */
    enum RouterFaults {
        NONE,
        /** One router is killed every three seconds and is back after one. */
        RESTARTS,
        /** Two halves do not hear of each other for ten seconds. */
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
