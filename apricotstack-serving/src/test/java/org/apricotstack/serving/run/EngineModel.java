package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.engine.EngineProfile;

/** Simulates an engine that works in batch steps as its published figures say. */
final class EngineModel {

    private static final double MILLION = 1e6;

    private final EngineProfile profile;
    private final List<Run> queue = new ArrayList<>();

    EngineModel(EngineProfile profile) {
        this.profile = profile;
    }

    /** A request at the engine. */
    static final class Run {
        private final long promptTokens;
        private final long answerTokens;
        private final double arrivalMillis;
        private double prefilledTokens;
        private long decodedTokens;
        private double endMillis = Double.POSITIVE_INFINITY;

        Run(long promptTokens, long answerTokens, double arrivalMillis) {
            this.promptTokens = promptTokens;
            this.answerTokens = answerTokens;
            this.arrivalMillis = arrivalMillis;
        }

        double arrivalMillis() {
            return arrivalMillis;
        }

        /** Returns when the answer was complete. */
        double endMillis() {
            return endMillis;
        }
    }

    /** Adds a request; requests are added in the order of their arrival. */
    void add(Run run) {
        queue.add(run);
    }

    /** Runs all requests to their ends. */
    void runAll() {
        List<Run> running = new ArrayList<>();
        double nowMillis = 0;
        while (!queue.isEmpty() || !running.isEmpty()) {
            if (running.isEmpty()) {
                nowMillis = Math.max(nowMillis, queue.get(0).arrivalMillis);
            }
            while (running.size() < profile.slots() && !queue.isEmpty() && queue.get(0).arrivalMillis <= nowMillis) {
                running.add(queue.remove(0));
            }
            nowMillis += batchStepMillis(running);
            for (Run run : running) {
                run.endMillis = run.decodedTokens >= run.answerTokens ? nowMillis : Double.POSITIVE_INFINITY;
            }
            running.removeIf(run -> run.endMillis <= Double.MAX_VALUE);
        }
    }

    /** Runs a batch step and returns its duration. */
    private double batchStepMillis(List<Run> running) {
        List<Run> decoding = running.stream()
                .filter(run -> run.prefilledTokens >= run.promptTokens)
                .toList();
        long contextTokens = decoding.stream()
                .mapToLong(run -> run.promptTokens + run.decodedTokens)
                .sum();
        double millis = profile.batchStepMillis(decoding.size(), contextTokens);
        decoding.forEach(run -> run.decodedTokens += profile.decodeStepsPerBatchStep());
        double room = (double) profile.chunkTokens() * profile.decodeStepsPerBatchStep();
        for (Run run : running) {
            double tokens = Math.min(room, run.promptTokens - run.prefilledTokens);
            double pairs = tokens * (run.prefilledTokens + tokens / 2);
            millis += tokens / profile.prefillTokensPerMilli()
                    + pairs / MILLION * profile.attentionMillisPerMillionPairs();
            run.prefilledTokens += tokens;
            room -= tokens;
        }
        return millis;
    }
}
