package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.time.StallDetector;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams that reach a stopping router, and whose engines the other routers then fill, in virtual time. */
class LatePlacementTest {

    private static final int SEEDS = 600;
    private static final EngineProfile ENGINE =
            new EngineProfile(11, 315_000, 51, 0.85, 0.0062, 0.00285, 177, 0.184, 2_048, 1_622);
    private static final long STOP_MILLIS = 8_000;
    private static final long TARGET_MILLIS = 100;
    private static final long PREFILL_MILLIS = 10;
    private static final long STREAM_PROMPT_TOKENS = 1_000;
    private static final long LATE_ANSWER_TOKENS = 1_600;

    /** From this time after the signal on, cuts are not excused. */
    private static final int LATE_MILLIS = 3_000;

    private final StopPolicy policy = new StopPolicy(STOP_MILLIS, new AddressLifetime(1));
    private final StopGate gate =
            new StopGate(policy, () -> new OtherRouters(true, List.of()), new EngineLoadTable(), new StallDetector(0));
    private final long durationMillis = policy.timeline().durationMillis();

    static IntStream seeds() {
        return IntStream.range(0, SEEDS);
    }

    private static RequestFacts facts(long answerTokens, long deadlineMillis, long nowMillis) {
        return StopRequests.facts(
                RequestKind.STREAMING,
                ENGINE,
                TARGET_MILLIS,
                STREAM_PROMPT_TOKENS,
                answerTokens,
                deadlineMillis,
                nowMillis);
    }

    private boolean takes(RequestFacts facts, int engine, long nowMillis) {
        return gate.takes(facts, gate.duration(facts, null, nowMillis), nowMillis)
                && gate.takes(
                        facts, gate.duration(facts, StopRequests.choice(engine, PREFILL_MILLIS), nowMillis), nowMillis);
    }

    /** Guards against streams that are cut by the end of their router, as other routers fill their engines later. */
    @ParameterizedTest
    @MethodSource("seeds")
    void cutsNoStreamThatArrivedLateThoughOthersFillItsEngine(int seed) {
        Random random = new Random(seed);
        policy.timeline().begin(0, 0);
        int engines = 2 + random.nextInt(7);
        long sentMillis = LATE_MILLIS + random.nextInt((int) durationMillis - LATE_MILLIS);
        long answerTokens = 50 + random.nextInt(4_000);
        Map<Integer, List<EngineModel.Run>> runs = new HashMap<>();
        Map<EngineModel.Run, Long> deadlines = new HashMap<>();
        int streams = 1 + random.nextInt(16);
        for (int i = 0; i < streams; i++) {
            long deadlineMillis = 500 + random.nextInt(9_500);
            int engine = random.nextInt(engines);
            if (takes(facts(answerTokens, deadlineMillis, sentMillis), engine, sentMillis)) {
                EngineModel.Run run = new EngineModel.Run(STREAM_PROMPT_TOKENS, answerTokens, sentMillis);
                deadlines.put(run, sentMillis + deadlineMillis);
                runs.computeIfAbsent(engine, e -> new ArrayList<>()).add(run);
            }
        }
        long latePromptTokens = 1_000 + random.nextInt(99_000);
        long lateMillis = sentMillis + random.nextInt(2_000);
        int latePrompts = 4 + random.nextInt(27);
        for (int i = 0; i < latePrompts; i++) {
            runs.computeIfAbsent(random.nextInt(engines), e -> new ArrayList<>())
                    .add(new EngineModel.Run(latePromptTokens, LATE_ANSWER_TOKENS, lateMillis));
        }
        runs.values().forEach(LatePlacementTest::run);
        deadlines.forEach((run, deadlineMillis) -> assertThat(Math.min(deadlineMillis, run.endMillis()))
                .as("end of a stream that was sent at %d ms with %d ms left", sentMillis, durationMillis - sentMillis)
                .isLessThanOrEqualTo(durationMillis));
    }

    private static void run(List<EngineModel.Run> runs) {
        EngineModel engine = new EngineModel(ENGINE);
        runs.stream()
                .sorted(Comparator.comparingDouble(EngineModel.Run::arrivalMillis))
                .forEach(engine::add);
        engine.runAll();
    }
}
