package org.apricotstack.core.stop;

import java.util.List;

/**
 * Routers that are stopped in series, and the requests that they get meanwhile.
 *
 * @param name its name
 * @param routers number of routers, in three data centres by turns
 * @param timeoutMillis time between the stop signal and the kill of a process, in milliseconds
 * @param series the series of stops
 * @param requestsPerSecond requests of all callers together
 * @param slowdown factor by which answers take longer than usual while routers stop
 * @param lostShare share of the heartbeats that are lost
 */
record StopScenario(
        String name,
        int routers,
        long timeoutMillis,
        List<Series> series,
        double requestsPerSecond,
        double slowdown,
        double lostShare) {

    /**
     * All routers are stopped once, some at a time.
     *
     * @param atMillis when it begins
     * @param atOnce routers that are stopped at the same moment
     * @param gapMillis time until the next ones are stopped
     * @param spared number of routers that are not stopped
     */
    record Series(long atMillis, int atOnce, long gapMillis, int spared) {}

    @Override
    public String toString() {
        return name;
    }
}
