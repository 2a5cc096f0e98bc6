package org.apricotstack.serving.observe;

import java.util.Locale;

/** Why a request is not sent to an upstream that is listed as taking requests. */
public enum PassedOverCause {
    /** It has got as many requests as it said that it takes. */
    LIMIT,
    /** It announced in its answers that it leaves. */
    DRAINING,
    /** It asked this router to send it nothing for a while. */
    BACK_OFF;

    /**
     * Returns the name for logs and counters.
     *
     * @return lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
