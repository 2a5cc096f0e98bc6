package org.apricotstack.bench.engine;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class EngineModelTest {

    private static final EngineSpeed SPEED = new EngineSpeed(20_000, 1_000, 1_000, 10, 100);

    private final EngineModel engine = new EngineModel(SPEED);

    private static ModelledStream stream(String name, long prompt, int priority, List<Long> blocks) {
        return new ModelledStream(name, prompt, 3, priority, 1, blocks);
    }

    private double firstTokenMillis(String name) {
        double micros = 0;
        while (engine.hasWork()) {
            EngineModel.Step step = engine.step();
            micros += step.micros();
            if (step.tokens().stream().anyMatch(t -> t.stream().name().equals(name))) {
                return micros / 1_000;
            }
        }
        return -1;
    }

    @Test
    void takesTheIdleTimeForASinglePrompt() {
        engine.add(stream("a", 5_000, 0, List.of()));
        assertThat(firstTokenMillis("a")).isCloseTo(SPEED.idleFirstTokenMillis(5_000), within(0.01));
    }

    @Test
    void prefillsAnUrgentPromptBetweenTheChunksOfALongOne() {
        engine.add(stream("long", 15_000, 2, List.of()));
        engine.step();
        engine.add(stream("short", 500, 0, List.of()));
        assertThat(firstTokenMillis("short")).isLessThan(2 * SPEED.idleFirstTokenMillis(1_000));
    }

    @Test
    void skipsCachedBlocksAndEvictsThemWhenMemoryIsHeld() {
        List<Long> blocks = new ArrayList<>();
        for (long i = 0; i < 8; i++) {
            blocks.add(i);
        }
        engine.add(stream("a", 5_000, 0, blocks));
        double cold = firstTokenMillis("a");
        finish();
        engine.add(stream("b", 5_000, 0, blocks));
        assertThat(firstTokenMillis("b")).isLessThan(cold / 2);
        finish();
        engine.add(stream("big", 19_000, 0, List.of()));
        finish();
        engine.add(stream("c", 5_000, 0, blocks));
        assertThat(firstTokenMillis("c")).isGreaterThan(cold / 2);
    }

    private void finish() {
        while (engine.hasWork()) {
            engine.step();
        }
        assertThat(engine.heldTokens()).isZero();
    }

    @Test
    void holdsMemoryUntilReleased() {
        assertThat(engine.reserve("r", 15_000)).isTrue();
        assertThat(engine.reserve("s", 6_000)).isFalse();
        assertThat(engine.release("r")).isTrue();
        assertThat(engine.release("r")).isFalse();
        assertThat(engine.reserve("s", 6_000)).isTrue();
        assertThat(engine.names()).containsExactly("s");
    }
}
