package org.apricotstack.core.http;

import java.util.Locale;

/** Ways in which the head of a response violates HTTP, so that nothing in it can be relied on. */
public enum HeadViolation {
    /** The status line does not begin with a version 1 of HTTP. */
    VERSION,
    /** The status is not a number from 100 to 599. */
    STATUS,
    /** The upstream switches to a protocol that it was not asked for. */
    SWITCH,
    /** The reason phrase has a control character. */
    REASON,
    /** The name of a header is empty, or is not a token. */
    NAME,
    /** A line has no colon. */
    COLON,
    /** The value of a header has a control character. */
    VALUE,
    /** A line continues the one before it. */
    FOLD,
    /** A line does not end with CR and LF. */
    LINE_END,
    /** The length is repeated, or is not a number. */
    LENGTH,
    /** The transfer coding is repeated, is not "chunked", comes beside a length, or HTTP/1.0 does not know it. */
    CODING,
    /** The decoder rejects it for another reason, such as its size. */
    OTHER;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
