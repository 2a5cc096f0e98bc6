package org.apricotstack.core.ratelimit;

/**
 * Conditions of a simulated cold period.
 *
 * @param routers number of routers
 * @param demandPerSecond rate of requests that could be sent to the cold upstream, from all routers
 * @param atOneRouter whether all requests arrive at one router
 * @param fault what fails
 */
record ColdScenario(int routers, double demandPerSecond, boolean atOneRouter, Fault fault) {

    /** What fails while the upstream is cold. */
    enum Fault {
        NONE,
        /** The routers are partitioned into two halves, from before the upstream is cold. */
        SPLIT_BEFORE,
        /** The routers are partitioned into two halves while the upstream is cold. */
        SPLIT_MEANWHILE,
        /** All routers start at the moment at which the upstream is cold. */
        ALL_STARTED,
        /** As before, while the routers are partitioned into two halves. */
        ALL_STARTED_IN_A_SPLIT,
        /** The permit issuer is killed and starts again. */
        ISSUER_KILLED,
        /** A third of the messages between routers is lost. */
        LOSS,
        /** The messages of one router to the others are lost; it receives theirs. */
        ONE_SIDED,
        /** The messages of the permit issuer to the others are lost; it receives theirs. */
        ONE_SIDED_ISSUER,
        /** Only one router learns that the upstream is cold, from a response, and reports it to the others. */
        LEARNT_FROM_A_RESPONSE,
        /** As before, but half a second late; until then requests are sent without permits. */
        LEARNT_LATE,
        /** As before; later half of the routers start again and learn it from the others only. */
        STARTED_AGAIN_AFTER_A_RESPONSE
    }
}
