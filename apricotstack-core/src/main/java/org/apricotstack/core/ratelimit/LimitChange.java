package org.apricotstack.core.ratelimit;

import java.util.Locale;

/** How a response or a gossip message changed the known limit of an upstream. */
public enum LimitChange {
    /** The limit is unchanged. */
    NONE,
    /** A limit is in force, and none was before. */
    BEGAN,
    /** The limit has another value. */
    CHANGED,
    /** No limit is in force any more. */
    ENDED;

    /**
     * Returns the name used in logs.
     *
     * @return the constant's name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
