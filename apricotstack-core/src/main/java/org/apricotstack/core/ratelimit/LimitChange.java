package org.apricotstack.core.ratelimit;

import java.util.Locale;

/** What an answer or another router's news changes of the limit of an upstream. */
public enum LimitChange {
    /** Nothing. */
    NONE,
    /** A limit holds now, and none did. */
    BEGAN,
    /** Another limit holds now. */
    CHANGED,
    /** No limit holds any more. */
    ENDED;

    /**
     * Returns the name for logs.
     *
     * @return lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
