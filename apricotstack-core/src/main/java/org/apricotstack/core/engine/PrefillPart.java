package org.apricotstack.core.engine;

/** A part of a prompt in the prefill queue of an engine. */
final class PrefillPart {

    /**
     * Remaining prefill of a part that counts as done, in milliseconds: the prediction of a batch step has this error.
     */
    private static final double COMPLETION_TOLERANCE_MILLIS = 20;

    private final EnginePlacement placement;
    private final boolean lead;
    private final long placedMillis;
    private double remainingMillis;
    private double dueMillis;
    private boolean inStep;

    /**
     * Creates a part whose prefill has not begun.
     *
     * @param placement the placement that it belongs to
     * @param lead whether the engine also decodes the answer
     * @param placedMillis when it was placed
     * @param remainingMillis its prefill time
     * @param dueMillis when its prefill should be done
     */
    PrefillPart(EnginePlacement placement, boolean lead, long placedMillis, double remainingMillis, double dueMillis) {
        this.placement = placement;
        this.lead = lead;
        this.placedMillis = placedMillis;
        this.remainingMillis = remainingMillis;
        this.dueMillis = dueMillis;
    }

    /** Returns the placement that it belongs to. */
    EnginePlacement placement() {
        return placement;
    }

    /** Tells whether the engine also decodes the answer. */
    boolean lead() {
        return lead;
    }

    /** Returns the remaining prefill, in milliseconds. */
    double remainingMillis() {
        return remainingMillis;
    }

    /** Returns the remaining prefill if it is not in the current batch step, in milliseconds. */
    double waitingMillis() {
        return inStep ? 0 : remainingMillis;
    }

    /** Returns when its prefill should be done. */
    double dueMillis() {
        return dueMillis;
    }

    /** Moves the due time back. */
    void postpone(double byMillis) {
        dueMillis += byMillis;
    }

    /** Spends time on this part; returns the unused time. */
    double progress(double millis) {
        double taken = Math.min(millis, remainingMillis);
        remainingMillis -= taken;
        return millis - taken;
    }

    /** Removes the part from a step that ended early after the given prefill time; returns the unused time. */
    double endStepEarly(double millis) {
        if (!inStep) {
            return millis;
        }
        inStep = false;
        double rest = progress(millis);
        remainingMillis = remainingMillis < COMPLETION_TOLERANCE_MILLIS ? 0 : remainingMillis;
        return rest;
    }

    /**
     * Completes the part if it was in the step that ends, or else adds it to the next step; returns the prefill time
     * that it adds to that step.
     */
    double advanceStep() {
        if (inStep) {
            inStep = false;
            remainingMillis = 0;
        } else if (remainingMillis > 0) {
            inStep = true;
            return remainingMillis;
        }
        return 0;
    }

    /** Tells whether a new part delays this one. */
    boolean delayedBy(boolean sharedNewPart, boolean batching) {
        return batching ? !inStep : sharedNewPart;
    }

    /** Estimates the value that the request loses if this part is done later than predicted. */
    double delayLoss(double prefillDoneMillis, double delayMillis, long nowMillis) {
        double waited = nowMillis - placedMillis;
        double target = Math.max(1, placement.targetLatencyMillis() - waited);
        return placement.value()
                * (PromptValue.waitLoss(prefillDoneMillis + delayMillis, target, waited)
                        - PromptValue.waitLoss(prefillDoneMillis, target, waited));
    }
}
