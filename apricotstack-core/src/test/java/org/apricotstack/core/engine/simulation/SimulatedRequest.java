package org.apricotstack.core.engine.simulation;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.id.UpstreamId;

/** One request of a simulated load, from its arrival to its end. */
final class SimulatedRequest {

    /** Share of its value that an answer keeps if it is late. */
    private static final double LATE_SHARE = 0.25;

    /** Share of the value that does not depend on the length. */
    private static final double FIXED_SHARE = 0.3;

    /** Maximum factor by which a length multiplies the value. */
    private static final double MAX_LENGTH_FACTOR = 4;

    private final PromptClass promptClass;
    private final long tokens;
    private final int events;
    private final double arrivedMillis;
    private final Set<UpstreamId> pendingEngines = new HashSet<>();
    private EnginePlacement placement;
    private int eventsSeen;
    private double firstMillis;
    private double lastMillis;
    private double longestTokenGapMillis;
    private boolean hasLeft;

    SimulatedRequest(PromptClass promptClass, long tokens, int events, double arrivedMillis) {
        this.promptClass = promptClass;
        this.tokens = tokens;
        this.events = events;
        this.arrivedMillis = arrivedMillis;
    }

    PromptClass promptClass() {
        return promptClass;
    }

    long tokens() {
        return tokens;
    }

    double arrivedMillis() {
        return arrivedMillis;
    }

    /** Returns its placement, or {@code null}. */
    EnginePlacement placement() {
        return placement;
    }

    /** Records its placement. */
    void place(EnginePlacement chosen) {
        placement = chosen;
        chosen.parts().forEach(part -> pendingEngines.add(part.engine()));
    }

    /** Records that an engine has finished its part; tells whether it was the last one. */
    boolean prefillDoneBy(UpstreamId engine) {
        return pendingEngines.remove(engine) && pendingEngines.isEmpty();
    }

    /** Records an event of the answer. */
    void event(double nowMillis) {
        if (eventsSeen++ == 0) {
            firstMillis = nowMillis;
        } else {
            longestTokenGapMillis = Math.max(longestTokenGapMillis, nowMillis - lastMillis);
        }
        lastMillis = nowMillis;
    }

    /** Tells whether the answer has started. */
    boolean hasStarted() {
        return eventsSeen > 0;
    }

    /** Tells whether the answer is complete. */
    boolean isComplete() {
        return eventsSeen >= events;
    }

    /** Records that its caller disconnected, or that it was refused. */
    void disconnect() {
        hasLeft = true;
    }

    /** Tells whether nothing more can happen. */
    boolean isOver() {
        return hasLeft || isComplete();
    }

    /** Returns the value of the answer if it is on time. */
    double valueOnTime() {
        double size = tokens / promptClass.meanTokens();
        return promptClass.value() * Math.min(MAX_LENGTH_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * size);
    }

    /** Returns the value that the answer earned. */
    double earnedValue() {
        if (!isComplete()) {
            return 0;
        }
        boolean onTime = firstMillis - arrivedMillis <= promptClass.targetMillis()
                && longestTokenGapMillis <= promptClass.tokenGapTargetMillis();
        return onTime ? valueOnTime() : LATE_SHARE * valueOnTime();
    }
}
