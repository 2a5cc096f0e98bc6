package org.apricotstack.core.retry;

import java.util.Locale;

/** Reasons for retrying a failed attempt; each reason has its own counter. */
public enum RetryReason {
    /** The owner did not accept the attempt, so it was not run. */
    OWNER_DID_NOT_TAKE,
    /** The upstream did not accept the attempt, so it was not run. */
    UPSTREAM_DID_NOT_TAKE,
    /** The group had no capacity; another group may have some. */
    OTHER_GROUP,
    /** The upstream failed, and the request is repeatable. */
    UPSTREAM_FAILED,
    /** The owner or the connection to it was lost, and the request is repeatable. */
    OWNER_LOST,
    /** The answer was truncated or belongs to another attempt, and the request is repeatable. */
    ANSWER_NOT_WHOLE;

    /**
     * Returns the name used in counters.
     *
     * @return the constant's name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
