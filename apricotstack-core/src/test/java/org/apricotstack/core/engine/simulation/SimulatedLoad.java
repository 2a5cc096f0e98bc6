package org.apricotstack.core.engine.simulation;

import java.util.List;

import org.apricotstack.core.engine.EngineProfile;

/**
 * Engines and the prompts that they get.
 *
 * @param profile the engines' figures
 * @param engines how many there are
 * @param maxSlowdown slowdown of the maxSlowdown engine; 1 if all are as fast as the figures say
 * @param kinds the kinds of prompts
 * @param phases for each phase a factor of the rate of each kind; they take turns
 * @param phaseMillis length of a phase, in milliseconds
 * @param lengthMillis time in which prompts arrive, in milliseconds
 */
record SimulatedLoad(
        EngineProfile profile,
        int engines,
        double maxSlowdown,
        List<PromptClass> kinds,
        List<List<Double>> phases,
        long phaseMillis,
        long lengthMillis) {

    /** Returns the rate of a kind at a moment, in prompts a second. */
    double ratePerSecond(int kind, double nowMillis) {
        int phase = (int) (nowMillis / phaseMillis) % phases.size();
        return kinds.get(kind).ratePerSecond() * phases.get(phase).get(kind);
    }

    /** Returns the greatest rate of a kind, in prompts a second. */
    double maxPerSecond(int kind) {
        double most =
                phases.stream().mapToDouble(phase -> phase.get(kind)).max().orElseThrow();
        return kinds.get(kind).ratePerSecond() * most;
    }
}
