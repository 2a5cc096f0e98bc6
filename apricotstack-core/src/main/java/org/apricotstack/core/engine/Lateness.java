package org.apricotstack.core.engine;

/** Turns a predicted duration into the probability that a target is missed. */
final class Lateness {

    /**
     * Spread of the prediction's error in relation to the target. A tenth keeps a prediction of 80% of the target at
     * a probability of one in eight, and one of 120% at seven in eight.
     */
    private static final double SPREAD = 0.1;

    private Lateness() {}

    /**
     * Estimates the probability that a target is missed.
     *
     * @param predictedMillis the predicted duration, in milliseconds
     * @param targetMillis the target, in milliseconds; 0 or less if there is none
     * @return 0 to 1
     */
    static double probability(double predictedMillis, double targetMillis) {
        if (targetMillis <= 0) {
            return 0;
        }
        return 1 / (1 + Math.exp((targetMillis - predictedMillis) / (targetMillis * SPREAD)));
    }
}
