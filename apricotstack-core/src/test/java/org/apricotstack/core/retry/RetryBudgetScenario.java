package org.apricotstack.core.retry;

/**
 * What happens in a {@link RetryBudgetSimulation}.
 *
 * @param routers number of hosts at the start
 * @param requestsPerSecond requests of callers for the service, over all routers
 * @param phaseMillis period of the failures: the attempts of its first quarter succeed
 * @param endMillis when the simulation ends
 * @param killsOfAllPerSecond how often all processes are killed
 * @param killsOfSomePerSecond how often a random share of the processes is killed
 * @param stallsPerSecond how often a random share of the processes stalls
 * @param partitionsPerSecond how often the network between routers is partitioned anew
 * @param addedPerSecond how often a host is added
 */
record RetryBudgetScenario(
        int routers,
        double requestsPerSecond,
        long phaseMillis,
        long endMillis,
        double killsOfAllPerSecond,
        double killsOfSomePerSecond,
        double stallsPerSecond,
        double partitionsPerSecond,
        double addedPerSecond) {

    /** Returns the retries that the fleet may make in a window beside the ratio. */
    double slack() {
        return 88 + 2 * routers;
    }
}
