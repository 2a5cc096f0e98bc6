package org.apricotstack.core.engine;

/**
 * Decides whether a prompt waits at its router while engines are worth more to others, or is refused.
 *
 * <p>Load that it answers: more long prompts in a few seconds than the engines read in that time. TrackedPlacement
 * at once, each
 * goes ahead of what the engines read already and all of them are late; placed a little later, most are in time. A
 * prompt that cannot wait any longer is placed although it is dear, so that no length is starved, unless it costs
 * others several times what is left of its value: one prompt of a million tokens that is late in any case would hold
 * the engines of a small fleet for ten seconds, and all others would be late or refused.
 */
public final class PromptAdmission {

    /** Time that an answer takes after its first event, in milliseconds: most long ones have 16 to 20 events. */
    private static final long DECODE_MILLIS = 2_500;

    /** Share of a caller's patience that may pass until the predicted first event of a prompt that waits. */
    private static final double PATIENCE_SHARE = 0.4;

    /** Times what is left of an answer's value that others may lose by it. */
    private static final double MAX_HARM_RATIO = 8;

    /** Share of its value that an answer has left at least: what speaks against the engines may be wrong. */
    private static final double MIN_REMAINING_VALUE_SHARE = 0.1;

    private PromptAdmission() {}

    /**
     * Tells whether others would lose so much by a choice that the prompt should wait, if it may.
     *
     * @param choice the engines that would read it now
     * @param promptTokens tokens of the prompt
     * @return whether it is dear
     */
    public static boolean isExpensive(PlacementChoice choice, long promptTokens) {
        return choice.costToOthers() > PromptValue.of(promptTokens);
    }

    /**
     * Tells whether a prompt that no longer waits is refused, as others would lose several times what it still earns.
     *
     * @param choice the engines that would read it now
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
     * Tells whether a prompt may still wait: its caller would not leave before the predicted first event, and there
     * would be time to write the answer.
     *
     * @param predictedMillis time to the first event if it were placed now, in milliseconds
     * @param waitedMillis how long the caller has waited already, in milliseconds
     * @param patienceMillis how long the caller waits for the first event in all, in milliseconds
     * @param remainingMillis time left for the whole request, in milliseconds
     * @return whether it may
     */
    public static boolean mayWait(
            double predictedMillis, long waitedMillis, long patienceMillis, long remainingMillis) {
        return waitedMillis + predictedMillis < PATIENCE_SHARE * patienceMillis
                && remainingMillis - predictedMillis > DECODE_MILLIS;
    }
}
