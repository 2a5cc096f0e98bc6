package org.apricotstack.core.engine.simulation;

import java.util.List;

import org.apricotstack.core.engine.EngineProfile;

/**
 * A set of engines and the prompts that they receive.
 *
 * @param profile figures of the engines
 * @param engines number of engines
 * @param maxSlowdown slowdown of the slowest engine; 1 if all engines match the figures
 * @param classes the classes of prompts
 * @param phases a rate factor for each class in each phase; the phases alternate
 * @param phaseMillis duration of a phase, in milliseconds
 * @param lengthMillis time in which prompts arrive, in milliseconds
 */
record SimulatedLoad(
        EngineProfile profile,
        int engines,
        double maxSlowdown,
        List<PromptClass> classes,
        List<List<Double>> phases,
        long phaseMillis,
        long lengthMillis) {

    /** Returns the rate of a class at a point in time, in prompts a second. */
    double ratePerSecond(int promptClass, double nowMillis) {
        int phase = (int) (nowMillis / phaseMillis) % phases.size();
        return classes.get(promptClass).ratePerSecond() * phases.get(phase).get(promptClass);
    }

    /** Returns the maximum rate of a class, in prompts a second. */
    double maxPerSecond(int promptClass) {
        double maxFactor = phases.stream()
                .mapToDouble(phase -> phase.get(promptClass))
                .max()
                .orElseThrow();
        return classes.get(promptClass).ratePerSecond() * maxFactor;
    }
}
