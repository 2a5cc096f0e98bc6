package org.apricotstack.core.engine;

/** Converts a predicted duration into the probability that a target is missed. */
final class Lateness {

    /**
     * Spread of the error of a predicted wait relative to its target. With 0.1, a prediction of 80% of the target has
     * a probability of one in eight and one of 120% seven in eight, since other routers place prompts in the meantime.
     */
    static final double WAIT_SPREAD = 0.1;

    /**
     * Spread of the error of a predicted token gap relative to its target. A token gap is one batch step, of which
     * only the concurrent placements of other routers are unknown.
     */
    static final double TOKEN_GAP_SPREAD = 0.05;

    private Lateness() {}

    /**
     * Estimates the probability that a target is missed.
     *
     * @param predictedMillis the predicted duration, in milliseconds
     * @param targetMillis the target, in milliseconds; 0 or less if there is none
     * @param spread spread of the prediction error relative to the target
     * @return 0 to 1
     */
    static double probability(double predictedMillis, double targetMillis, double spread) {
        if (targetMillis <= 0) {
            return 0;
        }
        return 1 / (1 + Math.exp((targetMillis - predictedMillis) / (targetMillis * spread)));
    }
}
