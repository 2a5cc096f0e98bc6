package org.apricotstack.core.engine;

/**
 * Decides whether a prompt waits at its router while engine time is worth more to other requests, or is refused.
 *
 * <p>This handles bursts of long prompts that exceed the prefill capacity of the engines for a few seconds. If they
 * are placed at once, each of them runs before the pending prefills and all of them are late; if they are placed a
 * little later, most are on time. A prompt that cannot wait any longer is placed even if it is expensive, so that no
 * prompt length starves. It is refused only if it costs others several times its own remaining value: one prompt of a
 * million tokens that will be late anyway would occupy the engines of a small fleet for ten seconds, and all others
 * would be late or refused.
 */
public final class PromptAdmission {

    /** Time from the first event to the end of an answer, in milliseconds: most long answers have 16 to 20 events. */
    private static final long DECODE_MILLIS = 2_500;

    /** Share of a caller's patience that may pass before the predicted first event of a prompt that waits. */
    private static final double PATIENCE_SHARE = 0.4;

    /** Maximum ratio of the cost to others to the remaining value of the answer. */
    private static final double MAX_HARM_RATIO = 8;

    /** Minimum remaining share of an answer's value, because the prediction that the engines will fail may be wrong. */
    private static final double MIN_REMAINING_VALUE_SHARE = 0.1;

    private PromptAdmission() {}

    /**
     * Tells whether a choice costs others so much that the prompt should wait if it can.
     *
     * @param choice the engines that would run it now
     * @param promptTokens tokens of the prompt
     * @return whether it is expensive
     */
    public static boolean isExpensive(PlacementChoice choice, long promptTokens) {
        return choice.costToOthers() > PromptValue.of(promptTokens);
    }

    /**
     * Tells whether a prompt that can no longer wait is refused, as it costs others several times its remaining value.
     *
     * @param choice the engines that would run it now
     * @param promptTokens tokens of the prompt
     * @return whether it is refused
     */
    public static boolean isRefused(PlacementChoice choice, long promptTokens) {
        double value = PromptValue.of(promptTokens);
        double ownLoss = choice.cost() - choice.costToOthers();
        double remainingValue = Math.max(MIN_REMAINING_VALUE_SHARE * value, value - ownLoss);
        return choice.costToOthers() > MAX_HARM_RATIO * remainingValue;
    }

    /**
     * Tells whether a prompt may still wait: its caller would stay until the predicted first event, and there would be
     * time left to decode the answer.
     *
     * @param predictedMillis time to the first event if it were placed now, in milliseconds
     * @param waitedMillis how long the caller has waited already, in milliseconds
     * @param patienceMillis total time that the caller waits for the first event, in milliseconds
     * @param remainingMillis time left for the whole request, in milliseconds
     * @return whether it may wait
     */
    public static boolean mayWait(
            double predictedMillis, long waitedMillis, long patienceMillis, long remainingMillis) {
        return waitedMillis + predictedMillis < PATIENCE_SHARE * patienceMillis
                && remainingMillis - predictedMillis > DECODE_MILLIS;
    }
}
