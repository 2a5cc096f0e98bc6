package org.apricotstack.serving.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServingLoopTest {

    private static final int WAIT_TIMEOUT_SECONDS = 15;

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Guards against heartbeats, sweeps and stops that end for good after one failure. */
    @Test
    void runsAPeriodicTaskAgainAfterItFailed() throws InterruptedException {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch ranAgain = new CountDownLatch(1);
        loop.scheduleWithFixedDelay(1, () -> {
            if (runs.incrementAndGet() == 1) {
                throw new IllegalStateException("first run");
            }
            ranAgain.countDown();
        });
        assertThat(ranAgain.await(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
}
