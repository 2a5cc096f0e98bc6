package org.apricotstack.core.upstream;

import java.util.Locale;

/** Ways in which an upstream fails a request. */
public enum FailureKind {
    /** No connection could be made; nothing was sent. */
    NO_CONNECTION(false, true, true),
    /** The connection broke before an answer began. */
    RESET(true, true, false),
    /** The answer was cut. */
    CUT(true, true, false),
    /** No answer, or no further event, came in time. */
    SILENT(true, true, true),
    /** No first event, or no further one, came in time, while the upstream went on with other requests. */
    PASSED_OVER(true, true, false),
    /** The router took it back, as an upstream ended under the same request elsewhere; the upstream is sound. */
    WITHDRAWN(true, false, false),
    /** What came is no answer in the protocol, or lacks its seal. */
    SPOILED(true, true, false),
    /** The upstream said that it failed. */
    ERROR(true, true, false),
    /** The upstream is full and did not run the request. */
    FULL(false, false, false),
    /** The upstream leaves, said so, and did not run the request; that is no failure. */
    DRAINING(false, false, false),
    /** The upstream did not run the request, and asked this router to send nothing for a while. */
    BACK_OFF(false, false, false),
    /** Nothing was sent, as the upstream said in the meantime that it wants no requests. */
    WITHHELD(false, false, false),
    /** The memory that the request needs could not be reserved; nothing was sent. */
    NOT_RESERVED(false, false, false),
    /** Another upstream has the address now; it did not run the request. */
    OTHER_INSTANCE(false, true, true),
    /** The upstream could not reach one of its helpers. */
    HELPER_GONE(false, true, true);

    private final boolean mayHaveRun;
    private final boolean countsAsFailure;

    private final boolean concernsAll;

    /** Creates a kind. */
    FailureKind(boolean mayHaveRun, boolean countsAsFailure, boolean concernsAll) {
        this.mayHaveRun = mayHaveRun;
        this.countsAsFailure = countsAsFailure;
        this.concernsAll = concernsAll;
    }

    /**
     * Tells whether all requests to the upstream would fail so.
     *
     * @return {@code false} for failures that single requests meet at a sound upstream too
     */
    public boolean concernsAll() {
        return concernsAll;
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
    public boolean countsAsFailure() {
        return countsAsFailure;
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
