package org.apricotstack.serving.run;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.retry.FleetRetryBudget;

/** This router's share of each service's retry budget. */
public final class RetryBudgets {

    private final double ratio;
    private final long windowMillis;
    private final double slack;
    private final IntSupplier routers;
    private final Map<ServiceId, FleetRetryBudget> byService = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param ratio retries allowed for each request
     * @param windowMillis length of the sliding window, in milliseconds
     * @param slack retries in a window that all routers together may make in addition to the ratio
     * @param routers number of routers that share the slack
     */
    public RetryBudgets(double ratio, long windowMillis, double slack, IntSupplier routers) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.slack = slack;
        this.routers = routers;
    }

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @return its budget
     */
    public FleetRetryBudget of(ServiceId service) {
        return byService.computeIfAbsent(
                service,
                id -> new FleetRetryBudget(ratio, windowMillis, () -> slack / Math.max(1, routers.getAsInt())));
    }
}
