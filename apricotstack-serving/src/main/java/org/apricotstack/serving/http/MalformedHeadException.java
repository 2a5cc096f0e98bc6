package org.apricotstack.serving.http;

import org.apricotstack.core.http.HeadViolation;

/** Marks the head of a response that violates HTTP. */
final class MalformedHeadException extends RuntimeException {

    private static final long serialVersionUID = 1;

    private final HeadViolation violation;

    /** Creates an exception for the given violation. */
    MalformedHeadException(HeadViolation violation) {
        super(
                "The head of the response violates HTTP (" + violation.code() + "); correct the upstream.",
                null,
                false,
                false);
        this.violation = violation;
    }

    /** Returns what is violated. */
    HeadViolation violation() {
        return violation;
    }

    /** Returns the violation for which a decoder marked a head as malformed. */
    static HeadViolation violation(Throwable cause) {
        return cause instanceof MalformedHeadException malformed ? malformed.violation : HeadViolation.OTHER;
    }
}
