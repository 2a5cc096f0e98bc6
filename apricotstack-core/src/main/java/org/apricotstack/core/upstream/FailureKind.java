package org.apricotstack.core.upstream;

import java.util.Locale;

/** Ways in which a request to an upstream fails. */
public enum FailureKind {
    /** The connection could not be established; nothing was sent. */
    NO_CONNECTION(false, true, true),
    /** The connection was closed before the response started. */
    RESET(true, true, false),
    /** The response was truncated. */
    CUT(true, true, false),
    /** The connection ended a response without a length while the request was still being sent. */
    CUT_WHILE_SENDING(true, true, false),
    /** The response, or its next event, did not arrive in time. */
    SILENT(true, true, true),
    /** The first or next event did not arrive in time, while the upstream made progress on other requests. */
    PASSED_OVER(true, true, false),
    /**
     * The router cancelled the attempt because another upstream crashed while running the same request; this upstream
     * is healthy.
     */
    WITHDRAWN(true, false, false),
    /**
     * The router has lost its own link to the upstream, which is healthy; nothing more arrives on the connection.
     */
    LINK_LOST(true, false, false),
    /** The response violates the protocol or lacks its seal. */
    SPOILED(true, true, false),
    /** The head of the response violates HTTP. */
    MALFORMED(true, true, false),
    /** A response that is not known to belong to the request came instead of its own. */
    UNMATCHED(true, false, false),
    /** The upstream reported an error. */
    ERROR(true, true, false),
    /** The upstream rejected the request without running it because it is at capacity. */
    FULL(false, false, false),
    /** The upstream rejected the request without running it because it is draining; not a failure. */
    DRAINING(false, false, false),
    /** The upstream rejected the request without running it and requested a back-off from this router. */
    BACK_OFF(false, false, false),
    /** Nothing was sent because the upstream had meanwhile announced that it accepts no requests. */
    WITHHELD(false, false, false),
    /** The KV cache memory that the request needs could not be reserved; nothing was sent. */
    NOT_RESERVED(false, false, false),
    /** Another upstream now uses the address; it did not run the request. */
    OTHER_INSTANCE(false, true, true),
    /** The upstream could not connect to one of its helper engines. */
    HELPER_GONE(false, true, true);

    private final boolean mayHaveRun;
    private final boolean countsAsFailure;

    private final boolean affectsAllRequests;

    /** Creates a kind. */
    FailureKind(boolean mayHaveRun, boolean countsAsFailure, boolean affectsAllRequests) {
        this.mayHaveRun = mayHaveRun;
        this.countsAsFailure = countsAsFailure;
        this.affectsAllRequests = affectsAllRequests;
    }

    /**
     * Tells whether all requests to the upstream would fail in this way.
     *
     * @return {@code false} for failures that also affect single requests at a healthy upstream
     */
    public boolean affectsAllRequests() {
        return affectsAllRequests;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return {@code false} only if it has certainly not run and will not run
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether another attempt at the same upstream would probably fail too.
     *
     * @return {@code false} if the upstream only accepts nothing now, another connection to it may work, or its helpers
     *     caused the failure
     */
    public boolean concernsUpstream() {
        return this != WITHHELD && this != BACK_OFF && this != LINK_LOST && this != NOT_RESERVED && this != UNMATCHED;
    }

    /**
     * Tells whether the request may have reached an upstream, also one that rejected it.
     *
     * @return {@code false} only if nothing was sent
     */
    public boolean arrives() {
        return this != NO_CONNECTION && this != WITHHELD && this != NOT_RESERVED;
    }

    /**
     * Tells whether the outlier detector counts the failure against the upstream.
     *
     * @return whether it counts
     */
    public boolean countsAsFailure() {
        return countsAsFailure;
    }

    /**
     * Returns the name used in logs and counters.
     *
     * @return the constant's name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
