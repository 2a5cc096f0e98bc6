package org.apricotstack.bench.replay;

import org.apricotstack.bench.trace.TraceRecord;

/**
 * Result of one request.
 *
 * @param record the request
 * @param outcome its outcome
 * @param code the code of the refusal or failure; empty without one
 * @param firstTokenMillis time from its send time in the trace to the first token; negative if there was none. The
 *     delay of a late replay is included, which avoids coordinated omission
 * @param totalMillis time from its send time in the trace to its end
 */
public record ReplayResult(
        TraceRecord record, ReplayOutcome outcome, String code, double firstTokenMillis, double totalMillis) {

    /**
     * Returns whether the outcome is an expected one.
     *
     * @return whether the outcome was expected
     */
    public boolean isExpected() {
        return outcome.isExpected(record.expected());
    }
}
