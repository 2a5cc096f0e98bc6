package org.apricotstack.core.engine;

/**
 * Published figures of the engines of one service.
 *
 * @param slots requests that one engine runs at once
 * @param memoryTokens tokens that its memory holds
 * @param decodeStepsPerBatchStep steps of a pass in which some request is decoding
 * @param decodeStepMillis duration of a step without work, in milliseconds
 * @param perSequenceMillis what each decoding request adds to a step, in milliseconds
 * @param contextMillisPerThousand what a thousand tokens of decoding requests' contexts add to a step, in milliseconds
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param attentionMillisPerMillionPairs time for a million pairs of a prompt token and an earlier one, in milliseconds
 * @param chunkTokens prompt tokens read in one step, at most
 * @param meanAnswerTokens mean length of an answer, in tokens
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int decodeStepsPerBatchStep,
        double decodeStepMillis,
        double perSequenceMillis,
        double contextMillisPerThousand,
        double prefillTokensPerMilli,
        double attentionMillisPerMillionPairs,
        int chunkTokens,
        long meanAnswerTokens) {

    private static final double TOKENS_PER_THOUSAND = 1_000;
    private static final double PAIRS_PER_MILLION = 1e6;

    /**
     * Predicts how long prefill a prompt takes, if nothing else is read.
     *
     * @param promptTokens tokens of the prompt
     * @param parts engines that share the prefill evenly; 1 or more
     * @return milliseconds that each of them reads
     */
    public double prefillMillis(long promptTokens, int parts) {
        double pairs = (double) promptTokens * promptTokens / 2;
        double steps = (double) promptTokens / Math.max(1, chunkTokens) * decodeStepMillis;
        return (promptTokens / prefillTokensPerMilli
                        + pairs / PAIRS_PER_MILLION * attentionMillisPerMillionPairs
                        + steps)
                / parts;
    }

    /**
     * Predicts how long a pass without prefill takes.
     *
     * @param decodingRequests requests that are decoding
     * @param contextTokens tokens of their contexts together
     * @return milliseconds; 0 if nothing is written
     */
    public double batchStepMillis(int decodingRequests, long contextTokens) {
        if (decodingRequests == 0) {
            return 0;
        }
        return decodeStepsPerBatchStep
                * (decodeStepMillis
                        + decodingRequests * perSequenceMillis
                        + contextTokens / TOKENS_PER_THOUSAND * contextMillisPerThousand);
    }
}
