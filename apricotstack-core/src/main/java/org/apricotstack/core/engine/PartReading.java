package org.apricotstack.core.engine;

/** A part of a prompt that an engine reads. */
final class PartReading {

    /** Left of a part that counts as read, as the prediction of a pass is off by as much, in milliseconds. */
    private static final double EARLY_MILLIS = 20;

    private final EnginePlacement placement;
    private final boolean lead;
    private final long sinceMillis;
    private double leftMillis;
    private double dueMillis;
    private boolean inPass;

    /**
     * Creates a part of which nothing was read.
     *
     * @param placement what it belongs to
     * @param lead whether the engine also answers
     * @param sinceMillis when it was placed
     * @param leftMillis how long reading it takes
     * @param dueMillis when it should have been read
     */
    PartReading(EnginePlacement placement, boolean lead, long sinceMillis, double leftMillis, double dueMillis) {
        this.placement = placement;
        this.lead = lead;
        this.sinceMillis = sinceMillis;
        this.leftMillis = leftMillis;
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
    double leftMillis() {
        return leftMillis;
    }

    /** Returns what is left and not in the pass that runs, in milliseconds. */
    double waitingMillis() {
        return inPass ? 0 : leftMillis;
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
    double read(double millis) {
        double taken = Math.min(millis, leftMillis);
        leftMillis -= taken;
        return millis - taken;
    }

    /** Leaves the pass that it was in after it was read for a time; returns the rest of the time. */
    double breakPass(double millis) {
        if (!inPass) {
            return millis;
        }
        inPass = false;
        double rest = read(millis);
        leftMillis = leftMillis < EARLY_MILLIS ? 0 : leftMillis;
        return rest;
    }

    /** Ends the pass that it was in, or takes it into the next one; returns for how long it is read in that. */
    double nextPass() {
        if (inPass) {
            inPass = false;
            leftMillis = 0;
        } else if (leftMillis > 0) {
            inPass = true;
            return leftMillis;
        }
        return 0;
    }

    /** Tells whether a new part delays it. */
    boolean delayedBy(boolean sharedNewPart, boolean passes) {
        return passes ? !inPass : sharedNewPart;
    }

    /** Estimates what its request loses if it is read later than predicted. */
    double lossByDelay(double readyMillis, double delayMillis, long nowMillis) {
        double waited = nowMillis - sinceMillis;
        double target = Math.max(1, placement.targetLatencyMillis() - waited);
        return placement.value()
                * (PromptValue.lossByWait(readyMillis + delayMillis, target, waited)
                        - PromptValue.lossByWait(readyMillis, target, waited));
    }
}
