package org.apricotstack.core.configuration;

/** The kind of upstreams of a service. */
public enum ServiceKind {
    /** Engines that run a model to complete prompts. */
    COMPLETION,
    /** Replicas of a plain HTTP service. */
    PLAIN
}
