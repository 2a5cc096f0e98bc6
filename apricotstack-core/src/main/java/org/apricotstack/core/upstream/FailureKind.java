package org.apricotstack.core.upstream;

import java.util.Locale;

/** Ways in which an upstream fails a request. */
public enum FailureKind {
    /** No connection could be made; nothing was sent. */
    NO_CONNECTION(false, true),
    /** The connection broke before an answer began. */
    RESET(true, true),
    /** The answer was cut. */
    CUT(true, true),
    /** No answer, or no further event, came in time. */
    SILENT(true, true),
    /** What came is no answer in the protocol, or lacks its seal. */
    SPOILED(true, true),
    /** The upstream said that it failed. */
    ERROR(true, true),
    /** The upstream is full and did not run the request. */
    FULL(false, false),
    /** Another upstream has the address now; it did not run the request. */
    OTHER_INSTANCE(false, true),
    /** The upstream could not reach one of its helpers. */
    HELPER_GONE(false, false);

    private final boolean mayHaveRun;
    private final boolean countsAgainst;

    FailureKind(boolean mayHaveRun, boolean countsAgainst) {
        this.mayHaveRun = mayHaveRun;
        this.countsAgainst = countsAgainst;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return {@code false} only if it is certain that it has not run and will not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether the failure says something bad about the upstream.
     *
     * @return whether it counts
     */
    public boolean countsAgainst() {
        return countsAgainst;
    }

    /**
     * Returns the name for logs and counters.
     *
     * @return lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
