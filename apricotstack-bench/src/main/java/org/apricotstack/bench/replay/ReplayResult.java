package org.apricotstack.bench.replay;

import org.apricotstack.bench.trace.TraceRecord;

/**
 * What became of one request.
 *
 * @param record the request
 * @param outcome how it ended
 * @param code the code of its refusal; empty without one
 * @param firstTokenMillis from the moment at which the trace sends it to the first piece of its answer; negative if
 *     none came. A replay that runs late counts its own delay, so that no omission is hidden
 * @param totalMillis from the same moment to its end
 */
public record ReplayResult(
        TraceRecord record, ReplayOutcome outcome, String code, double firstTokenMillis, double totalMillis) {

    /**
     * Tells whether it ended as stated.
     *
     * @return whether the promise was kept
     */
    public boolean isAsStated() {
        return outcome.isAsStated(record.expected());
    }
}
