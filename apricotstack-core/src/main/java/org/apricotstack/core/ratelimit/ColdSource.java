package org.apricotstack.core.ratelimit;

import java.util.Locale;

/** From what it is known that an upstream is cold. */
public enum ColdSource {
    /** The platform's entry of the upstream states it. */
    ENTRY,
    /** A response of the upstream states it, to this router or to another one. */
    RESPONSE,
    /** The upstream was listed for the first time, and its entry does not state whether it is cold. */
    START;

    /**
     * Returns the name in logs.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
