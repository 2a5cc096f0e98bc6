package org.apricotstack.core.engine.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.engine.EngineProfile;

/** The loads that are simulated. */
final class SimulatedLoads {

    private static final int STRIDE_STEPS = 52;
    private static final int CHUNK_TOKENS = 2_048;
    private static final double MILLIS_PER_SECOND = 1_000;

    private SimulatedLoads() {}

    /**
     * Returns a fleet with alternating phases of many short prompts and of many long ones. In the long phases, prefill
     * alone needs about 30 of the engines.
     */
    static SimulatedLoad alternatingPhases(int engines) {
        return new SimulatedLoad(
                new EngineProfile(8, 382_500, STRIDE_STEPS, 0.925, 0.005, 0.0025, 256, 0.092, CHUNK_TOKENS, 1_700),
                engines,
                1.05,
                List.of(
                        new PromptClass(48, 5_000, 0.9, 24_000, 33, 309, 200, 10_300, 1.4),
                        new PromptClass(7.7, 45_000, 0.5, 110_000, 20, 1_514, 500, 10_100, 2.6),
                        new PromptClass(1.3, 300_000, 0.55, 1_000_000, 16, 4_024, 800, 15_100, 30)),
                List.of(List.of(2.4, 0.5, 0.05), List.of(0.31, 1.3, 2.8)),
                9_500,
                38_000);
    }

    /**
     * Draws a deployment: engines of half to double speed with 4 to 32 slots, three classes of prompts of 1,000 to a
     * million tokens, and two phases. Prefill of prompts of mean length takes 15 to 60% of the engines.
     */
    static SimulatedLoad randomDeployment(long seed) {
        Random random = new Random(seed);
        double speed = between(random, 0.5, 2);
        EngineProfile profile = new EngineProfile(
                4 + random.nextInt(29),
                (long) between(random, 200_000, 800_000),
                STRIDE_STEPS,
                0.9 / speed,
                0.005 / speed,
                0.0025 / speed,
                220 * speed,
                0.12 / speed,
                CHUNK_TOKENS,
                1_700);
        int engines = 8 + random.nextInt(25);
        double[] lengths = {
            between(random, 1_000, 10_000), between(random, 20_000, 80_000), between(random, 120_000, 300_000)
        };
        double[] shares = {between(random, 0.05, 0.15), between(random, 0.03, 0.15), between(random, 0.07, 0.3)};
        List<PromptClass> classes = new ArrayList<>();
        List<Double> one = new ArrayList<>();
        List<Double> other = new ArrayList<>();
        for (int i = 0; i < lengths.length; i++) {
            double prefillMillis = profile.prefillMillis((long) lengths[i], 1);
            double target = i == 0 ? between(random, 250, 500) : between(random, 0.4, 1.6) * prefillMillis + 600;
            double gap = between(random, 150, 300) * (1 + 1.5 * i);
            classes.add(new PromptClass(
                    engines * shares[i] * MILLIS_PER_SECOND / prefillMillis,
                    lengths[i],
                    between(random, 0.3, 0.9),
                    1_000_000,
                    between(random, 10, 40),
                    target,
                    gap,
                    Math.max(10_000, 4 * target),
                    between(random, 0.5, 2) * Math.pow(lengths[i] / 5_000, 0.75)));
            double amplitude = between(random, 0.1, 1);
            one.add(1 + amplitude * (i == 0 ? 1 : -1));
            other.add(2 - one.get(i));
        }
        return new SimulatedLoad(
                profile, engines, between(random, 1, 1.1), classes, List.of(one, other), 5_000, 10_000);
    }

    private static double between(Random random, double min, double max) {
        return min + (max - min) * random.nextDouble();
    }
}
