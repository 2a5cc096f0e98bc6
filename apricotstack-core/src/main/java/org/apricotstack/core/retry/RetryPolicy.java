package org.apricotstack.core.retry;

import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;

/**
 * Decides whether a failed attempt may be retried. Only the entry router retries attempts, so that layers do not
 * multiply each other's retries.
 */
public final class RetryPolicy {

    private RetryPolicy() {}

    /**
     * Classifies a failed attempt.
     *
     * @param refusal the reason and outcome of the failed attempt
     * @param repeatable whether the request may run twice without harm
     * @param continuable whether no part of the answer was forwarded, or another engine can continue it
     * @return the reason for a retry; {@code null} if the attempt must not be retried
     */
    public static RetryReason reasonToRetry(Refusal refusal, boolean repeatable, boolean continuable) {
        if (refusal.outcome() == Outcome.UNKNOWN && !(repeatable && continuable)) {
            return null;
        }
        return switch (refusal.reason()) {
            case OWNER_UNREACHABLE, STOPPING, NO_CONFIGURATION -> RetryReason.OWNER_DID_NOT_TAKE;
            case UPSTREAM_LEAVING, UPSTREAM_REFUSED, UPSTREAM_UNREACHABLE, NO_GROUP -> RetryReason
                    .UPSTREAM_DID_NOT_TAKE;
            case QUEUE_FULL, CANNOT_FINISH_IN_TIME -> RetryReason.OTHER_GROUP;
            case UPSTREAM_FAILED, UPSTREAM_SILENT -> RetryReason.UPSTREAM_FAILED;
            case OWNER_LOST, INTERNAL_ERROR -> RetryReason.OWNER_LOST;
            case ANSWER_CUT, ANSWER_CROSSED -> RetryReason.ANSWER_NOT_WHOLE;
            default -> null;
        };
    }
}
