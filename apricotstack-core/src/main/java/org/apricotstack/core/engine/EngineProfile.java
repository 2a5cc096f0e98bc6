package org.apricotstack.core.engine;

/**
 * Published performance figures of the engines of one service.
 *
 * <p>A batch step consists of several decode steps, at whose end each decoding request gets one event.
 *
 * @param slots requests that one engine runs at once
 * @param memoryTokens tokens that its memory holds
 * @param decodeStepsPerBatchStep decode steps in a batch step
 * @param decodeStepMillis duration of a decode step without work, in milliseconds
 * @param perSequenceMillis time that each decoding request adds to a decode step, in milliseconds
 * @param contextMillisPerThousand time that a thousand context tokens of decoding requests add to a decode step, in
 *     milliseconds
 * @param prefillTokensPerMilli prompt tokens prefilled in a millisecond
 * @param attentionMillisPerMillionPairs prefill time for a million pairs of a prompt token and an earlier one, in
 *     milliseconds
 * @param chunkTokens maximum number of prompt tokens prefilled in one decode step
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
     * Predicts the prefill time of a prompt if the engine prefills nothing else.
     *
     * @param promptTokens tokens of the prompt
     * @param parts engines that share the prefill evenly; 1 or more
     * @return milliseconds of prefill on each of them
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
     * Predicts the duration of a batch step without prefill.
     *
     * @param decodingRequests requests that are decoding
     * @param contextTokens total tokens of their contexts
     * @return milliseconds; 0 if no request is decoding
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
