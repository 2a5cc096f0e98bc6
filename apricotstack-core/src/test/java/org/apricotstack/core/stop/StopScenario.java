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
 * @param conditions what else happens meanwhile
 */
record StopScenario(
        String name,
        int routers,
        long timeoutMillis,
        List<Series> series,
        double requestsPerSecond,
        double slowdown,
        double lostShare,
        Conditions conditions) {

    StopScenario(
            String name,
            int routers,
            long timeoutMillis,
            List<Series> series,
            double requestsPerSecond,
            double slowdown,
            double lostShare) {
        this(name, routers, timeoutMillis, series, requestsPerSecond, slowdown, lostShare, Conditions.NONE);
    }

    /** Returns the scenario with other conditions. */
    StopScenario with(Conditions next) {
        return new StopScenario(name, routers, timeoutMillis, series, requestsPerSecond, slowdown, lostShare, next);
    }

    /**
     * What happens while routers are stopped.
     *
     * @param notReadyMillis time for which a router is not ready after its start, in milliseconds
     * @param stallAtMillis when the first routers stall; 0 if none does
     * @param stallMillis how long they send and handle nothing
     * @param stalledRouters how many stall
     * @param cutOffAtMillis when routers with even and odd numbers lose each other; 0 if they do not
     * @param cutOffMillis how long they receive no heartbeats of each other
     * @param byDataCentre whether series stop one data centre after the other
     * @param unknownSlowdown factor by which answers take at most longer than routers assume
     * @param plainPerSecond plain requests with a deadline, beside the others
     * @param awaitsRetryAfter whether callers repeat rejected requests after the time that they are told
     */
    record Conditions(
            long notReadyMillis,
            long stallAtMillis,
            long stallMillis,
            int stalledRouters,
            long cutOffAtMillis,
            long cutOffMillis,
            boolean byDataCentre,
            double unknownSlowdown,
            double plainPerSecond,
            boolean awaitsRetryAfter) {

        static final Conditions NONE = new Conditions(0, 0, 0, 1, 0, 0, false, 1, 0, false);

        Conditions retryAfter() {
            return new Conditions(
                    notReadyMillis,
                    stallAtMillis,
                    stallMillis,
                    stalledRouters,
                    cutOffAtMillis,
                    cutOffMillis,
                    byDataCentre,
                    unknownSlowdown,
                    plainPerSecond,
                    true);
        }

        Conditions notReady(long millis) {
            return new Conditions(
                    millis,
                    stallAtMillis,
                    stallMillis,
                    stalledRouters,
                    cutOffAtMillis,
                    cutOffMillis,
                    byDataCentre,
                    unknownSlowdown,
                    plainPerSecond,
                    awaitsRetryAfter);
        }

        Conditions stall(long atMillis, long millis) {
            return new Conditions(
                    notReadyMillis,
                    atMillis,
                    millis,
                    stalledRouters,
                    cutOffAtMillis,
                    cutOffMillis,
                    byDataCentre,
                    unknownSlowdown,
                    plainPerSecond,
                    awaitsRetryAfter);
        }

        Conditions stalledRouters(int count) {
            return new Conditions(
                    notReadyMillis,
                    stallAtMillis,
                    stallMillis,
                    count,
                    cutOffAtMillis,
                    cutOffMillis,
                    byDataCentre,
                    unknownSlowdown,
                    plainPerSecond,
                    awaitsRetryAfter);
        }

        Conditions cutOff(long atMillis, long millis) {
            return new Conditions(
                    notReadyMillis,
                    stallAtMillis,
                    stallMillis,
                    stalledRouters,
                    atMillis,
                    millis,
                    byDataCentre,
                    unknownSlowdown,
                    plainPerSecond,
                    awaitsRetryAfter);
        }

        Conditions dataCentreByDataCentre() {
            return new Conditions(
                    notReadyMillis,
                    stallAtMillis,
                    stallMillis,
                    stalledRouters,
                    cutOffAtMillis,
                    cutOffMillis,
                    true,
                    unknownSlowdown,
                    plainPerSecond,
                    awaitsRetryAfter);
        }

        Conditions unknownSlowdown(double factor) {
            return new Conditions(
                    notReadyMillis,
                    stallAtMillis,
                    stallMillis,
                    stalledRouters,
                    cutOffAtMillis,
                    cutOffMillis,
                    byDataCentre,
                    factor,
                    plainPerSecond,
                    awaitsRetryAfter);
        }

        Conditions plain(double perSecond) {
            return new Conditions(
                    notReadyMillis,
                    stallAtMillis,
                    stallMillis,
                    stalledRouters,
                    cutOffAtMillis,
                    cutOffMillis,
                    byDataCentre,
                    unknownSlowdown,
                    perSecond,
                    awaitsRetryAfter);
        }
    }

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
