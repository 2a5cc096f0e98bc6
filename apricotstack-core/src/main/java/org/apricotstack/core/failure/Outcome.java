package org.apricotstack.core.failure;

/** The outcome of a refused or failed request: whether an upstream may have run it. */
public enum Outcome {
    /** The request was sent to no upstream, and will not be. */
    NOT_RUN("not_run"),
    /** An upstream may have received the request, and may have run it completely. */
    UNKNOWN("unknown");

    private final String code;

    Outcome(String code) {
        this.code = code;
    }

    /**
     * Returns the code that is sent to callers.
     *
     * @return the code
     */
    public String code() {
        return code;
    }
}
