package org.apricotstack.core.replication;

/** The document sets that are replicated between routers. */
public enum ReplicationTopic {
    /** The fleet configuration. */
    CONFIGURATION,
    /** The list of live and leaving hosts. */
    ROSTER
}
