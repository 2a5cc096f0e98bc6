package org.apricotstack.core.retry;

import java.util.Locale;

/** Why another attempt follows a failed one; each reason has its own counter. */
public enum RetryReason {
    /** The owner did not take the attempt, so it was not run. */
    OWNER_DID_NOT_TAKE,
    /** The upstream did not take the attempt, so it was not run. */
    UPSTREAM_DID_NOT_TAKE,
    /** The group had no room; another group may. */
    OTHER_GROUP,
    /** The upstream failed, and the work may be repeated. */
    UPSTREAM_FAILED,
    /** The owner or the connection to it was lost, and the work may be repeated. */
    OWNER_LOST,
    /** The answer was cut or crossed, and the work may be repeated. */
    ANSWER_NOT_WHOLE;

    /**
     * Returns the code that counters use.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
