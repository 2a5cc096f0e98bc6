package org.apricotstack.core.suspect;

/**
 * What a seeded fleet is put through.
 *
 * @param routers how many routers take callers
 * @param repeatIntervalMillis time between two repeats, in milliseconds
 * @param spread to which routers the repeats come
 * @param gossipMillis longest time that news take, in milliseconds
 * @param lostShare share of news that are lost until the next catch-up
 * @param faults what happens to routers meanwhile
 */
record SuspectScenario(
        int routers,
        long repeatIntervalMillis,
        Spread spread,
        long gossipMillis,
        double lostShare,
        RouterFaults faults) {

    /** To which routers the repeats of a request come. */
    enum Spread {
        /** All come to one router. */
        ONE,
        /** Each comes to all routers at the same moment. */
        ALL,
        /** Each comes to a router that is chosen anew. */
        ANY
    }

    /** What happens to routers. */
    enum RouterFaults {
        /** Nothing. */
        NONE,
        /** One after the other starts again with an empty table, and is told what another one knows. */
        RESTARTS,
        /** Two halves do not hear of each other for some seconds, then tell each other all. */
        SPLIT
    }
}
