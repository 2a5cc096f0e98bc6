package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * The pending prefill of an engine in order: first the parts of shared prefills, newest first, then the prompts that
 * the engine prefills alone, oldest first.
 */
final class PrefillQueue {

    private final List<PrefillPart> parts = new ArrayList<>();

    /** Adds a part. */
    void add(PrefillPart part) {
        if (part.placement().isShared()) {
            parts.add(0, part);
        } else {
            parts.add(part);
        }
    }

    /** Removes the part of a placement; returns {@code null} if there is none. */
    PrefillPart removePart(PlacementId id) {
        for (PrefillPart part : parts) {
            if (part.placement().id().equals(id)) {
                parts.remove(part);
                return part;
            }
        }
        return null;
    }

    /** Returns the parts in the order of their prefill. */
    List<PrefillPart> parts() {
        return parts;
    }

    /** Returns the number of prompts whose answer the engine will decode. */
    int leadCount() {
        int leads = 0;
        for (PrefillPart part : parts) {
            leads += part.lead() ? 1 : 0;
        }
        return leads;
    }

    /** Returns the number of parts that the engine prefills as a helper. */
    int helperCount() {
        return parts.size() - leadCount();
    }

    /** Spends time on the parts in order, on an engine that does not work in batch steps. */
    void progress(double millis) {
        double rest = millis;
        for (PrefillPart part : parts) {
            rest = part.progress(rest);
        }
    }

    /**
     * Ends a batch step earlier than predicted, as a first event came; prefill that did not fit in its time remains.
     *
     * <p>If all parts of the step counted as done, a long part would disappear from the load of an engine at the first
     * event of a short prompt that ran before it, and more short prompts would go to an engine that is still busy.
     */
    void endStepEarly(double afterMillis) {
        double rest = Math.max(0, afterMillis);
        for (PrefillPart part : parts) {
            rest = part.endStepEarly(rest);
        }
    }

    /** Ends a batch step and starts the next one; returns the prefill time in the new step. */
    double advanceStep() {
        double total = 0;
        for (PrefillPart part : parts) {
            total += part.advanceStep();
        }
        return total;
    }

    /** Returns the total remaining prefill, in milliseconds. */
    double remainingMillis() {
        double total = 0;
        for (PrefillPart part : parts) {
            total += part.remainingMillis();
        }
        return total;
    }

    /** Returns the prefill of the next batch step, in milliseconds. */
    double waitingMillis() {
        double total = 0;
        for (PrefillPart part : parts) {
            total += part.waitingMillis();
        }
        return total;
    }

    /** Moves the due times of waiting parts back, as a new part runs before or with them. */
    void postpone(boolean sharedNewPart, boolean batching, double byMillis) {
        for (PrefillPart part : parts) {
            if (part.delayedBy(sharedNewPart, batching)) {
                part.postpone(byMillis);
            }
        }
    }

    /**
     * Returns how long the most delayed first event is overdue, without those that were due before the last first
     * event.
     */
    double firstEventOverdueMillis(double lastFirstEventMillis, long nowMillis) {
        double overdue = 0;
        for (PrefillPart part : parts) {
            if (part.lead() && part.dueMillis() > lastFirstEventMillis) {
                overdue = Math.max(overdue, nowMillis - part.dueMillis());
            }
        }
        return overdue;
    }
}
