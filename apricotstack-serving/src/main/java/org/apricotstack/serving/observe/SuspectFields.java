package org.apricotstack.serving.observe;

import org.apricotstack.core.suspect.RequestTrait;

/** Names of the log fields that identify what is suspected. */
public final class SuspectFields {

    private static final String REQUEST = "content";
    private static final String PROMPT_PART = "part";

    private SuspectFields() {}

    /**
     * Returns the field for a suspected request or prompt part.
     *
     * @param trait what is suspected
     * @return name of the field
     */
    public static String name(RequestTrait trait) {
        return trait.isShared() ? PROMPT_PART : REQUEST;
    }
}
