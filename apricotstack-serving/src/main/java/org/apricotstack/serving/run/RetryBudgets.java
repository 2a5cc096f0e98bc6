package org.apricotstack.serving.run;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.retry.FleetRetryBudget;

/** This router's share of each service's retry budget. */
public final class RetryBudgets {

    private final double ratio;
    private final long windowMillis;
    private final DoubleSupplier slackShare;
    private final Map<ServiceId, FleetRetryBudget> byService = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param ratio retries allowed for each request
     * @param windowMillis length of the sliding window, in milliseconds
     * @param slackShare retries in a window that this router may make in addition to the ratio
     */
    public RetryBudgets(double ratio, long windowMillis, DoubleSupplier slackShare) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.slackShare = slackShare;
    }

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @return its budget
     */
    public FleetRetryBudget of(ServiceId service) {
        return byService.computeIfAbsent(service, id -> new FleetRetryBudget(ratio, windowMillis, slackShare));
    }
}
