package org.apricotstack.serving.run;

import org.apricotstack.core.upstream.FailureKind;

/** Cause of an engine's silence on a request. */
enum SilenceCause {
    /** The engine does not answer, or has restarted and lost all its requests. */
    DEAD(FailureKind.SILENT),
    /** The engine serves other requests and has an empty queue, so only this request was lost. */
    PASSED_OVER(FailureKind.PASSED_OVER),
    /** The engine is alive but overloaded. */
    BUSY(null);

    private final FailureKind failure;

    /** Creates a cause. */
    SilenceCause(FailureKind failure) {
        this.failure = failure;
    }

    /** Returns the kind of failure; {@code null} if the engine did not fail. */
    FailureKind failure() {
        return failure;
    }
}
