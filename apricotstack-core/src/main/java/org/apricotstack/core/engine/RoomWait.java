package org.apricotstack.core.engine;

/**
 * Decides whether a prompt waits at its router while engines are worth more to others.
 *
 * <p>Load that it answers: more long prompts in a few seconds than the engines read in that time. Placed at once, each
 * goes ahead of what the engines read already and all of them are late; placed a little later, most are in time. A
 * prompt that cannot wait any longer is placed whatever it costs, so that no length is starved, or refused at once if
 * no engine can answer it in time.
 */
public final class RoomWait {

    /** Time that an answer takes after its first event, in milliseconds: most long ones have 16 to 20 events. */
    public static final long WRITING_MILLIS = 2_500;

    /** Share of a caller's patience that may pass until the predicted first event of a prompt that waits. */
    private static final double PATIENCE_SHARE = 0.4;

    private RoomWait() {}

    /**
     * Tells whether others would lose so much by a choice that the prompt should wait, if it may.
     *
     * @param choice the engines that would read it now
     * @param promptTokens tokens of the prompt
     * @return whether it is dear
     */
    public static boolean isDear(PlacementChoice choice, long promptTokens) {
        return choice.harm() > PromptValue.of(promptTokens);
    }

    /**
     * Tells whether a prompt may still wait: its caller would not leave before the predicted first event, and there
     * would be time to write the answer.
     *
     * @param predictedMillis time to the first event if it were placed now, in milliseconds
     * @param waitedMillis how long the caller has waited already, in milliseconds
     * @param patienceMillis how long the caller waits for the first event in all, in milliseconds
     * @param leftMillis time left for the whole request, in milliseconds
     * @return whether it may
     */
    public static boolean isAllowed(double predictedMillis, long waitedMillis, long patienceMillis, long leftMillis) {
        return waitedMillis + predictedMillis < PATIENCE_SHARE * patienceMillis
                && leftMillis - predictedMillis > WRITING_MILLIS;
    }
}
