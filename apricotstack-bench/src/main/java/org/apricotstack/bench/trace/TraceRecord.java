package org.apricotstack.bench.trace;

import java.util.List;

/**
 * One request of a trace.
 *
 * @param timestampMillis send time, in milliseconds from the start of the trace
 * @param inputTokens length of the prompt; 0 for a plain call
 * @param outputTokens length of the answer; 0 for a plain call
 * @param hashIds one hash for each block of {@link #BLOCK_TOKENS} prompt tokens; equal hashes denote equal blocks
 * @param account the client account that sends it
 * @param service the service that it calls
 * @param repeatable whether it may be retried without a ticket
 * @param timeLimitMillis its time limit; 0 for the default of the service
 * @param expected the expected outcome
 */
public record TraceRecord(
        long timestampMillis,
        long inputTokens,
        long outputTokens,
        List<Long> hashIds,
        String account,
        String service,
        boolean repeatable,
        long timeLimitMillis,
        Expected expected) {

    /** Prompt tokens per hash id, as in the published Mooncake traces. */
    public static final int BLOCK_TOKENS = 512;

    /** Outcomes that count as correct. */
    public enum Expected {
        /** The complete, correct answer. */
        COMPLETED,
        /** The complete, correct answer, or a truthful refusal that it was not run. */
        COMPLETED_OR_NOT_RUN,
        /** A truthful refusal that it was not run. */
        NOT_RUN
    }
}
