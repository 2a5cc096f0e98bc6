package org.apricotstack.serving.run;

import org.apricotstack.core.upstream.FailureKind;

/** Why an engine says nothing on a request. */
enum SilenceCause {
    /** The engine does not answer, or has started again: all that it was given is lost. */
    DEAD(FailureKind.SILENT),
    /** The engine goes on with other requests, and none waits there: only this one is lost. */
    PASSED_OVER(FailureKind.PASSED_OVER),
    /** The engine is there and has more to do than it can do at once. */
    BUSY(null);

    private final FailureKind failure;

    /** Creates a reason. */
    SilenceCause(FailureKind failure) {
        this.failure = failure;
    }

    /** Returns how the upstream failed; {@code null} if it did not. */
    FailureKind failure() {
        return failure;
    }
}
