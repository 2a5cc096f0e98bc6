package org.apricotstack.core.engine;

/**
 * Published figures of the engines of one service.
 *
 * @param slots requests that one engine runs at once
 * @param memoryTokens tokens that its memory holds
 * @param strideSteps steps of a pass in which some request is writing
 * @param stepMillis duration of a step without work, in milliseconds
 * @param perWriterMillis what each writing request adds to a step, in milliseconds
 * @param contextPerThousandMillis what a thousand tokens of writing requests' contexts add to a step, in milliseconds
 * @param readTokensPerMilli prompt tokens read in a millisecond
 * @param pairsPerMillionMillis time for a million pairs of a prompt token and an earlier one, in milliseconds
 * @param chunkTokens prompt tokens read in one step, at most
 * @param meanAnswerTokens mean length of an answer, in tokens
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int strideSteps,
        double stepMillis,
        double perWriterMillis,
        double contextPerThousandMillis,
        double readTokensPerMilli,
        double pairsPerMillionMillis,
        int chunkTokens,
        long meanAnswerTokens) {

    private static final double TOKENS_PER_THOUSAND = 1_000;
    private static final double PAIRS_PER_MILLION = 1e6;

    /**
     * Predicts how long reading a prompt takes, if nothing else is read.
     *
     * @param promptTokens tokens of the prompt
     * @param parts engines that share the reading evenly; 1 or more
     * @return milliseconds that each of them reads
     */
    public double prefillMillis(long promptTokens, int parts) {
        double pairs = (double) promptTokens * promptTokens / 2;
        double steps = (double) promptTokens / Math.max(1, chunkTokens) * stepMillis;
        return (promptTokens / readTokensPerMilli + pairs / PAIRS_PER_MILLION * pairsPerMillionMillis + steps) / parts;
    }

    /**
     * Predicts how long a pass without reading takes.
     *
     * @param writers requests that are writing
     * @param contextTokens tokens of their contexts together
     * @return milliseconds; 0 if nothing is written
     */
    public double passMillis(int writers, long contextTokens) {
        if (writers == 0) {
            return 0;
        }
        return strideSteps
                * (stepMillis
                        + writers * perWriterMillis
                        + contextTokens / TOKENS_PER_THOUSAND * contextPerThousandMillis);
    }
}
