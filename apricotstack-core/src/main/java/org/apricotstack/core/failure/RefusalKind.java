package org.apricotstack.core.failure;

/** Categories of refusal reasons, by who can resolve them. */
public enum RefusalKind {
    /** The caller must change the request. */
    CALLER_ERROR,
    /** A limit of the client account is reached. */
    LIMIT,
    /** The system has more work than it can finish in time. */
    OVERLOAD,
    /** A required component is unreachable at present. */
    UNAVAILABLE,
    /** An attempt failed after an upstream may have received the request. */
    FAILED,
    /** The time limit passed. */
    TIMEOUT,
    /** The ticket does not allow the request to run now. */
    CONFLICT
}
