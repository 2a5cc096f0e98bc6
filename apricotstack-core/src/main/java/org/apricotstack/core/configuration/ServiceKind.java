package org.apricotstack.core.configuration;

/** What stands behind a service. */
public enum ServiceKind {
    /** Model engines that complete prompts. */
    COMPLETION,
    /** Replicas of a plain HTTP service. */
    PLAIN
}
