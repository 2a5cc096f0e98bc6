package org.apricotstack.core.replication;

/** What became of a delta that was offered to a replica. */
public enum ApplyResult {
    /** The version is in force now. */
    ADOPTED,
    /** The version is not newer than the one in force, and was dropped. */
    STALE,
    /** The delta starts after the version in force; changes between are missing. */
    GAP,
    /** The version is invalid; the last good one stays in force. */
    REJECTED
}
