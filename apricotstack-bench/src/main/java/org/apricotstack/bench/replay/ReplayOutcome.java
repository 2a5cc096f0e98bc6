package org.apricotstack.bench.replay;

import org.apricotstack.bench.trace.TraceRecord.Expected;

/** How a replayed request ended, as its caller saw it. */
public enum ReplayOutcome {
    /** With the whole, true answer. */
    COMPLETED,
    /** With a refusal that says it was not run. */
    NOT_RUN,
    /** With a failure that says the outcome is unknown. */
    UNKNOWN,
    /** With an answer that is not the true one, or not whole and yet marked as whole. */
    WRONG,
    /** Without any answer within its time limit. */
    LATE,
    /** Without reaching any entry host. */
    UNREACHABLE;

    /**
     * Tells whether the outcome is one that was stated for the request.
     *
     * @param expected what was stated
     * @return whether the promise was kept
     */
    public boolean isAsStated(Expected expected) {
        return switch (expected) {
            case COMPLETED -> this == COMPLETED;
            case COMPLETED_OR_NOT_RUN -> this == COMPLETED || this == NOT_RUN;
            case NOT_RUN -> this == NOT_RUN;
        };
    }
}
