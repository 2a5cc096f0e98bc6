package org.apricotstack.core.engine;

/** A part of a prompt that an engine reads. */
final class PrefillPart {

    /** Left of a part that counts as read, as the prediction of a pass is off by as much, in milliseconds. */
    private static final double COMPLETION_TOLERANCE_MILLIS = 20;

    private final EnginePlacement placement;
    private final boolean lead;
    private final long placedMillis;
    private double remainingMillis;
    private double dueMillis;
    private boolean inStep;

    /**
     * Creates a part of which nothing was read.
     *
     * @param placement what it belongs to
     * @param lead whether the engine also answers
     * @param placedMillis when it was placed
     * @param remainingMillis how long prefill it takes
     * @param dueMillis when it should have been read
     */
    PrefillPart(EnginePlacement placement, boolean lead, long placedMillis, double remainingMillis, double dueMillis) {
        this.placement = placement;
        this.lead = lead;
        this.placedMillis = placedMillis;
        this.remainingMillis = remainingMillis;
        this.dueMillis = dueMillis;
    }

    /** Returns what it belongs to. */
    EnginePlacement placement() {
        return placement;
    }

    /** Tells whether the engine also answers. */
    boolean lead() {
        return lead;
    }

    /** Returns what is left to read, in milliseconds. */
    double remainingMillis() {
        return remainingMillis;
    }

    /** Returns what is left and not in the pass that runs, in milliseconds. */
    double waitingMillis() {
        return inStep ? 0 : remainingMillis;
    }

    /** Returns when it should have been read. */
    double dueMillis() {
        return dueMillis;
    }

    /** Lets it be due later. */
    void postpone(double byMillis) {
        dueMillis += byMillis;
    }

    /** Reads for a time; returns the rest of the time. */
    double progress(double millis) {
        double taken = Math.min(millis, remainingMillis);
        remainingMillis -= taken;
        return millis - taken;
    }

    /** Leaves the pass that it was in after it was read for a time; returns the rest of the time. */
    double endStepEarly(double millis) {
        if (!inStep) {
            return millis;
        }
        inStep = false;
        double rest = progress(millis);
        remainingMillis = remainingMillis < COMPLETION_TOLERANCE_MILLIS ? 0 : remainingMillis;
        return rest;
    }

    /** Ends the pass that it was in, or takes it into the next one; returns for how long it is read in that. */
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

    /** Tells whether a new part delays it. */
    boolean delayedBy(boolean sharedNewPart, boolean batching) {
        return batching ? !inStep : sharedNewPart;
    }

    /** Estimates what its request loses if it is read later than predicted. */
    double delayLoss(double prefillDoneMillis, double delayMillis, long nowMillis) {
        double waited = nowMillis - placedMillis;
        double target = Math.max(1, placement.targetLatencyMillis() - waited);
        return placement.value()
                * (PromptValue.waitLoss(prefillDoneMillis + delayMillis, target, waited)
                        - PromptValue.waitLoss(prefillDoneMillis, target, waited));
    }
}
