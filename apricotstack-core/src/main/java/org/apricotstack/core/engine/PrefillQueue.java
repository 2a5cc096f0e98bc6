package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * What an engine reads, in its order: parts of shared readings first, the newest of them ahead, then the prompts
 * that it
 * reads alone, the oldest ahead.
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

    /** Takes the part of a placement off; {@code null} if there is none. */
    PrefillPart removePart(PlacementId id) {
        for (PrefillPart part : parts) {
            if (part.placement().id().equals(id)) {
                parts.remove(part);
                return part;
            }
        }
        return null;
    }

    /** Returns the parts in the order in which they are read. */
    List<PrefillPart> parts() {
        return parts;
    }

    /** Returns the number of prompts that the engine will answer. */
    int leadCount() {
        int leads = 0;
        for (PrefillPart part : parts) {
            leads += part.lead() ? 1 : 0;
        }
        return leads;
    }

    /** Returns the number of parts that are read for other engines. */
    int helperCount() {
        return parts.size() - leadCount();
    }

    /** Reads for a time without batching. */
    void progress(double millis) {
        double rest = millis;
        for (PrefillPart part : parts) {
            rest = part.progress(rest);
        }
    }

    /**
     * Ends a pass earlier than predicted, as a first event came: what could not be read in its time is left.
     *
     * <p>Taken as read, a long part would vanish from an engine with the first event of a short prompt that was read
     * ahead of it, and short prompts would follow to an engine that reads on.
     */
    void endStepEarly(double afterMillis) {
        double rest = Math.max(0, afterMillis);
        for (PrefillPart part : parts) {
            rest = part.endStepEarly(rest);
        }
    }

    /** Ends a pass and begins the next one; returns for how long is read in it. */
    double advanceStep() {
        double total = 0;
        for (PrefillPart part : parts) {
            total += part.advanceStep();
        }
        return total;
    }

    /** Returns what is left to read, in milliseconds. */
    double remainingMillis() {
        double total = 0;
        for (PrefillPart part : parts) {
            total += part.remainingMillis();
        }
        return total;
    }

    /** Returns what is read in the next pass, in milliseconds. */
    double waitingMillis() {
        double total = 0;
        for (PrefillPart part : parts) {
            total += part.waitingMillis();
        }
        return total;
    }

    /** Lets what waits be due later, as a new part is read before or with it. */
    void postpone(boolean sharedNewPart, boolean batching, double byMillis) {
        for (PrefillPart part : parts) {
            if (part.delayedBy(sharedNewPart, batching)) {
                part.postpone(byMillis);
            }
        }
    }

    /** Returns for how long the engine has overdue a first event, leaving out those due before it last gave one. */
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
