package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * What an engine reads, in its order: parts of shared readings first, the newest of them ahead, then the prompts
 * that it
 * reads alone, the oldest ahead.
 */
final class ReadingQueue {

    private final List<PartReading> parts = new ArrayList<>();

    /** Adds a part. */
    void add(PartReading part) {
        if (part.placement().isShared()) {
            parts.add(0, part);
        } else {
            parts.add(part);
        }
    }

    /** Takes the part of a placement off; {@code null} if there is none. */
    PartReading take(PlacementId id) {
        for (PartReading part : parts) {
            if (part.placement().id().equals(id)) {
                parts.remove(part);
                return part;
            }
        }
        return null;
    }

    /** Returns the parts in the order in which they are read. */
    List<PartReading> parts() {
        return parts;
    }

    /** Returns the number of prompts that the engine will answer. */
    int leads() {
        int leads = 0;
        for (PartReading part : parts) {
            leads += part.lead() ? 1 : 0;
        }
        return leads;
    }

    /** Returns the number of parts that are read for other engines. */
    int helps() {
        return parts.size() - leads();
    }

    /** Reads for a time without passes. */
    void read(double millis) {
        double rest = millis;
        for (PartReading part : parts) {
            rest = part.read(rest);
        }
    }

    /**
     * Ends a pass earlier than predicted, as a first event came: what could not be read in its time is left.
     *
     * <p>Taken as read, a long part would vanish from an engine with the first event of a short prompt that was read
     * ahead of it, and short prompts would follow to an engine that reads on.
     */
    void breakPass(double afterMillis) {
        double rest = Math.max(0, afterMillis);
        for (PartReading part : parts) {
            rest = part.breakPass(rest);
        }
    }

    /** Ends a pass and begins the next one; returns for how long is read in it. */
    double nextPass() {
        double total = 0;
        for (PartReading part : parts) {
            total += part.nextPass();
        }
        return total;
    }

    /** Returns what is left to read, in milliseconds. */
    double leftMillis() {
        double total = 0;
        for (PartReading part : parts) {
            total += part.leftMillis();
        }
        return total;
    }

    /** Returns what is read in the next pass, in milliseconds. */
    double waitingMillis() {
        double total = 0;
        for (PartReading part : parts) {
            total += part.waitingMillis();
        }
        return total;
    }

    /** Lets what waits be due later, as a new part is read before or with it. */
    void postpone(boolean sharedNewPart, boolean passes, double byMillis) {
        for (PartReading part : parts) {
            if (part.delayedBy(sharedNewPart, passes)) {
                part.postpone(byMillis);
            }
        }
    }

    /** Returns for how long the engine has owed a first event, leaving out those due before it last gave one. */
    double owedMillis(double progressMillis, long nowMillis) {
        double owed = 0;
        for (PartReading part : parts) {
            if (part.lead() && part.dueMillis() > progressMillis) {
                owed = Math.max(owed, nowMillis - part.dueMillis());
            }
        }
        return owed;
    }
}
