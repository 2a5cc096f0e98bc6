package org.apricotstack.core.engine.simulation;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.id.UpstreamId;

/** One request of a played load, from its arrival to its end. */
final class SimulatedRequest {

    /** Share of its value that an answer keeps if it is late. */
    private static final double LATE_SHARE = 0.25;

    /** Share of the value that does not depend on the length, and most that a length multiplies it by. */
    private static final double FIXED_SHARE = 0.3;

    private static final double MAX_LENGTH_FACTOR = 4;

    private final PromptClass kind;
    private final long tokens;
    private final int events;
    private final double arrivedMillis;
    private final Set<UpstreamId> pendingEngines = new HashSet<>();
    private EnginePlacement placement;
    private int eventsSeen;
    private double firstMillis;
    private double lastMillis;
    private double longestPauseMillis;
    private boolean left;

    SimulatedRequest(PromptClass kind, long tokens, int events, double arrivedMillis) {
        this.kind = kind;
        this.tokens = tokens;
        this.events = events;
        this.arrivedMillis = arrivedMillis;
    }

    PromptClass kind() {
        return kind;
    }

    long tokens() {
        return tokens;
    }

    double arrivedMillis() {
        return arrivedMillis;
    }

    /** Returns where it was placed, or {@code null}. */
    EnginePlacement placement() {
        return placement;
    }

    /** Notes where it is placed. */
    void place(EnginePlacement chosen) {
        placement = chosen;
        chosen.parts().forEach(part -> pendingEngines.add(part.engine()));
    }

    /** Notes that an engine read its part; tells whether it was the last one. */
    boolean prefillDoneBy(UpstreamId engine) {
        return pendingEngines.remove(engine) && pendingEngines.isEmpty();
    }

    /** Notes an event of the answer. */
    void event(double nowMillis) {
        if (eventsSeen++ == 0) {
            firstMillis = nowMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastMillis);
        }
        lastMillis = nowMillis;
    }

    /** Tells whether events came. */
    boolean hasStarted() {
        return eventsSeen > 0;
    }

    /** Tells whether the answer is whole. */
    boolean isComplete() {
        return eventsSeen >= events;
    }

    /** Notes that its caller left, or that it was refused. */
    void leave() {
        left = true;
    }

    /** Tells whether nothing more happens. */
    boolean isOver() {
        return left || isComplete();
    }

    /** Returns what an answer on time would be value. */
    double valueOnTime() {
        double size = tokens / kind.meanTokens();
        return kind.value() * Math.min(MAX_LENGTH_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * size);
    }

    /** Returns what the answer was value. */
    double earnedValue() {
        if (!isComplete()) {
            return 0;
        }
        boolean onTime =
                firstMillis - arrivedMillis <= kind.targetMillis() && longestPauseMillis <= kind.tokenGapTargetMillis();
        return onTime ? valueOnTime() : LATE_SHARE * valueOnTime();
    }
}
