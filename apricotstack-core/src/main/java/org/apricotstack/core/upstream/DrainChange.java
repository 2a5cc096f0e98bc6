package org.apricotstack.core.upstream;

/** How a response or a gossip message changed the known drain state of an upstream. */
public enum DrainChange {
    /** The state is unchanged. */
    NONE,
    /** The upstream is newly known to drain. */
    BEGAN,
    /** The upstream accepts requests again. */
    ENDED
}
