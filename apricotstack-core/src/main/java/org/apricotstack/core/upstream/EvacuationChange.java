package org.apricotstack.core.upstream;

import java.util.Locale;

/**
 * A change of the evacuation of a data centre.
 *
 * @param kind what changed
 * @param evacuation the evacuation after it began or was lost, or before it ended
 */
public record EvacuationChange(Kind kind, Evacuation evacuation) {

    /** What changed. */
    public enum Kind {
        /** It is in force. */
        BEGUN,
        /** It is no longer in force. */
        ENDED,
        /** The platform, restored from a backup, no longer lists it; it stays in force for a limited time. */
        LOST;

        /**
         * Returns the name in logs.
         *
         * @return the name in lower case
         */
        public String code() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
