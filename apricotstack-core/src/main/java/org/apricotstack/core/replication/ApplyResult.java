package org.apricotstack.core.replication;

/** The result of offering a delta to a replica. */
public enum ApplyResult {
    /** The version is now in force. */
    ADOPTED,
    /** The version is not newer than the one in force and was ignored. */
    STALE,
    /** The delta starts after the version in force; the changes between are missing. */
    GAP,
    /** The version is invalid; the last valid one stays in force. */
    REJECTED
}
