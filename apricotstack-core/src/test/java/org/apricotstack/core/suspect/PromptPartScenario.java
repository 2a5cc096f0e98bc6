package org.apricotstack.core.suspect;

/**
 * A scenario for a simulated fleet that receives requests with a prompt part that crashes upstreams.
 *
 * @param routers number of routers that accept requests
 * @param crashingIntervalMillis time between two requests with the part, in milliseconds
 * @param spread the routers at which they arrive
 * @param faults the faults injected into the routers
 * @param lostShare share of gossip messages that are lost until the next full state
 * @param unrelatedCrashes number of upstreams that crash for another reason, one a second
 */
record PromptPartScenario(
        int routers,
        long crashingIntervalMillis,
        SuspectScenario.Spread spread,
        SuspectScenario.RouterFaults faults,
        double lostShare,
        int unrelatedCrashes) {

    /** No requests with the part arrive. */
    static final long NO_CRASHING_REQUESTS = 0;

    private static final long SPLIT_FROM_MILLIS = 4_500;
    private static final long SPLIT_UNTIL_MILLIS = 9_500;

    /** Returns whether two routers cannot reach each other at a time. */
    boolean isPartitioned(int one, int other, long nowMillis) {
        return faults == SuspectScenario.RouterFaults.SPLIT
                && one % 2 != other % 2
                && nowMillis >= SPLIT_FROM_MILLIS
                && nowMillis < SPLIT_UNTIL_MILLIS;
    }

    /** A scenario without faults. */
    static PromptPartScenario of(int routers, long crashingIntervalMillis, SuspectScenario.Spread spread) {
        return new PromptPartScenario(routers, crashingIntervalMillis, spread, SuspectScenario.RouterFaults.NONE, 0, 0);
    }
}
