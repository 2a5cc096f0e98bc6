package org.apricotstack.core.failure;

/** What a refusal or failure says about the request: whether any part of it reached an upstream. */
public enum Outcome {
    /** No upstream was given the request, and none will be. */
    NOT_RUN("not_run"),
    /** An upstream may have been given the request, or may have run it wholly. */
    UNKNOWN("unknown");

    private final String code;

    Outcome(String code) {
        this.code = code;
    }

    /**
     * Returns the code that callers see.
     *
     * @return the code
     */
    public String code() {
        return code;
    }
}
