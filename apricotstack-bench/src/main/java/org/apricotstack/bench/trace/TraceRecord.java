package org.apricotstack.bench.trace;

import java.util.List;

/**
 * One request of a trace.
 *
 * @param timestampMillis when it is sent, in milliseconds from the start of the trace
 * @param inputTokens length of the prompt; 0 for a plain call
 * @param outputTokens length of the answer; 0 for a plain call
 * @param hashIds one number for each block of {@link #BLOCK_TOKENS} prompt tokens; equal numbers are equal blocks
 * @param account the client account that sends it
 * @param service the service that it asks for
 * @param repeatable whether it may be sent again without a ticket
 * @param timeLimitMillis its time limit; 0 for the service's own
 * @param expected how it is stated to end
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

    /** Prompt tokens that one hash id stands for, as in the published Mooncake traces. */
    public static final int BLOCK_TOKENS = 512;

    /** How a request may end without breaking a promise. */
    public enum Expected {
        /** With the whole, true answer. */
        COMPLETED,
        /** With the whole answer, or with a true refusal that says it was not run. */
        COMPLETED_OR_NOT_RUN,
        /** With a refusal that says it was not run. */
        NOT_RUN
    }
}
