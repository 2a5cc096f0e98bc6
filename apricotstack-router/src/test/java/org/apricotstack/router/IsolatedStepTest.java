package org.apricotstack.router;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class IsolatedStepTest {

    private static final int ROUNDS = 6;

    private final AtomicInteger steps = new AtomicInteger();

    private Mono<Void> step() {
        switch (steps.incrementAndGet()) {
            case 1:
                throw new IllegalStateException("in a test");
            case 2:
                throw new StackOverflowError("in a test");
            case 3:
                return Mono.error(new IllegalStateException("in a test"));
            case 4:
                return Mono.error(new StackOverflowError("in a test"));
            default:
                return Mono.empty();
        }
    }

    @Test
    void continuesPeriodicWorkAfterAnError() {
        Flux.range(0, ROUNDS)
                .concatMap(round -> IsolatedStep.of("test", this::step))
                .blockLast();
        Flux.range(0, ROUNDS)
                .doOnNext(round -> IsolatedStep.run("test", () -> {
                    steps.incrementAndGet();
                    throw new StackOverflowError("in a test");
                }))
                .blockLast();
        assertThat(steps).hasValue(2 * ROUNDS);
    }
}
