package org.apricotstack.bench.replay;

import org.apricotstack.bench.trace.TraceRecord.Expected;

/** Outcome of a replayed request as observed by the caller. */
public enum ReplayOutcome {
    /** The complete, correct answer. */
    COMPLETED,
    /** A refusal which states that the request was not run. */
    NOT_RUN,
    /** A failure with unknown outcome. */
    UNKNOWN,
    /** An incorrect answer, or an incomplete one that is marked as complete. */
    WRONG,
    /** No complete answer within the time limit. */
    LATE,
    /** No entry host was reachable. */
    UNREACHABLE;

    /**
     * Returns whether the outcome is an expected one.
     *
     * @param expected the outcomes expected for the request
     * @return whether the outcome is among them
     */
    public boolean isExpected(Expected expected) {
        return switch (expected) {
            case COMPLETED -> this == COMPLETED;
            case COMPLETED_OR_NOT_RUN -> this == COMPLETED || this == NOT_RUN;
            case NOT_RUN -> this == NOT_RUN;
        };
    }
}
