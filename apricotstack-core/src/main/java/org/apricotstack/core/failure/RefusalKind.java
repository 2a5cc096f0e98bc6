package org.apricotstack.core.failure;

/** Families of refusal reasons, by who can do something about them. */
public enum RefusalKind {
    /** The caller must change the request. */
    CALLER_ERROR,
    /** A limit of the client account is reached. */
    LIMIT,
    /** The system has more work than it can end in time. */
    OVERLOAD,
    /** A part that is needed cannot be reached now. */
    UNAVAILABLE,
    /** An attempt failed after an upstream may have been given the request. */
    FAILED,
    /** The time limit passed. */
    TIMEOUT,
    /** The ticket does not allow the request to run now. */
    CONFLICT
}
