package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * All prompts that some engines read now, and what they lose by a new one.
 *
 * <p>A prompt that many engines share has been read when the last of them is done. So what delays it is looked at once
 * and not for each part: a part that is done early anyway may wait for nothing, and a new prompt that delays all parts
 * delays the prompt once. Added up over its parts, a prompt that 14 engines read would look 14 times as precious, and
 * new ones would go to a single engine each rather than beside it.
 */
final class OpenReadings {

    private final Map<UpstreamId, List<Part>> byEngine = new HashMap<>();
    private final Map<PlacementId, Double> wholeMillis = new HashMap<>();
    private final long nowMillis;

    /**
     * A part that an engine reads.
     *
     * @param reading the part
     * @param readyMillis when it will have been read, from now
     * @param passes whether its engine works in passes
     */
    private record Part(PartReading reading, double readyMillis, boolean passes) {

        /** Returns the placement that it belongs to. */
        private PlacementId id() {
            return reading.placement().id();
        }

        /** Tells whether a new part on its engine delays it. */
        private boolean waitsFor(boolean isShared) {
            return reading.waitingMillis() > 0 && reading.delayedBy(isShared, passes);
        }
    }

    /** Looks at all engines. */
    OpenReadings(List<EngineCandidate> candidates, long nowMillis) {
        this.nowMillis = nowMillis;
        for (EngineCandidate candidate : candidates) {
            List<Part> parts = new ArrayList<>();
            candidate.load().eachReading(nowMillis, (reading, readyMillis, passes) -> {
                parts.add(new Part(reading, readyMillis, passes));
                wholeMillis.merge(reading.placement().id(), readyMillis, Math::max);
            });
            byEngine.put(candidate.engine(), parts);
        }
    }

    /**
     * Adds up what open prompts lose if one engine reads a new part.
     *
     * @param candidate the engine
     * @param readMillis reading of the part at usual pace, in milliseconds
     * @param isShared whether other engines share the new reading, so that it goes ahead of what waits
     * @return value lost beyond what is lost already, in the units of {@link PromptValue}
     */
    double loss(EngineCandidate candidate, double readMillis, boolean isShared) {
        return loss(List.of(candidate), readMillis, isShared);
    }

    /**
     * Adds up what open prompts lose if some engines read a part of a new one each.
     *
     * @param engines the engines
     * @param readMillis reading of each part at usual pace, in milliseconds
     * @param isShared whether the new reading is shared, so that it goes ahead of what waits
     * @return value lost beyond what is lost already, in the units of {@link PromptValue}
     */
    double loss(List<EngineCandidate> engines, double readMillis, boolean isShared) {
        Map<PlacementId, Part> delayed = new HashMap<>();
        Map<PlacementId, Double> readyMillis = new HashMap<>();
        for (EngineCandidate candidate : engines) {
            double delay = readMillis * candidate.load().slowdown();
            for (Part part : byEngine.get(candidate.engine())) {
                if (part.waitsFor(isShared) && part.readyMillis() + delay > wholeMillis.get(part.id())) {
                    delayed.putIfAbsent(part.id(), part);
                    readyMillis.merge(part.id(), part.readyMillis() + delay, Math::max);
                }
            }
        }
        double loss = 0;
        for (Part part : delayed.values()) {
            double whole = wholeMillis.get(part.id());
            loss += part.reading().lossByDelay(whole, readyMillis.get(part.id()) - whole, nowMillis);
        }
        return loss;
    }
}
