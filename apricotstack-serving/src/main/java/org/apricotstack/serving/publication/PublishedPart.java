package org.apricotstack.serving.publication;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/** Parts of the published state without which a router cannot serve. */
public enum PublishedPart {
    /** The configuration. */
    CONFIGURATION,
    /** The list of upstreams. */
    UPSTREAMS,
    /** The evacuations of data centres, if they are followed. */
    EVACUATIONS;

    /**
     * Returns what a router does not know yet.
     *
     * @param state what it knows
     * @return the missing parts; empty if requests can be served
     */
    public static Set<PublishedPart> missing(PublishedState state) {
        Set<PublishedPart> missing = EnumSet.noneOf(PublishedPart.class);
        if (state.configuration() == null) {
            missing.add(CONFIGURATION);
        }
        if (state.upstreamsRevision() == 0) {
            missing.add(UPSTREAMS);
        }
        if (!state.evacuations().complete()) {
            missing.add(EVACUATIONS);
        }
        return missing;
    }

    /**
     * Returns the name in logs.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
