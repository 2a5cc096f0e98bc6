package org.apricotstack.core.engine;

/** Turns a predicted duration into the probability that a target is missed. */
final class Lateness {

    /**
     * Spread of the error of a predicted wait in relation to its target. A tenth keeps a prediction of 80% of the
     * target at a probability of one in eight, and one of 120% at seven in eight: others place prompts meanwhile.
     */
    static final double WAIT_SPREAD = 0.1;

    /**
     * Spread of the error of a predicted pause in relation to its target. A pause is one pass, of which all is known
     * but what others place in that moment.
     */
    static final double TOKEN_GAP_SPREAD = 0.05;

    private Lateness() {}

    /**
     * Estimates the probability that a target is missed.
     *
     * @param predictedMillis the predicted duration, in milliseconds
     * @param targetMillis the target, in milliseconds; 0 or less if there is none
     * @param spread spread of the prediction's error in relation to the target
     * @return 0 to 1
     */
    static double probability(double predictedMillis, double targetMillis, double spread) {
        if (targetMillis <= 0) {
            return 0;
        }
        return 1 / (1 + Math.exp((targetMillis - predictedMillis) / (targetMillis * spread)));
    }
}
