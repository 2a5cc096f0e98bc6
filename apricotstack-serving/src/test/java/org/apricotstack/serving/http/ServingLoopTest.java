package org.apricotstack.serving.http;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServingLoopTest {

    private static final int WAIT_TIMEOUT_SECONDS = 15;

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void stop() {
        loop.close();
    }

    static Stream<Throwable> failures() {
        return Stream.of(new IllegalStateException("run"), new StackOverflowError(), new LinkageError());
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    /** Guards against heartbeats, sweeps and stops that end for good after one failure. */
    @ParameterizedTest
    @MethodSource("failures")
    void runsAPeriodicTaskAgainAfterItFailed(Throwable failure) throws InterruptedException {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch ranAgain = new CountDownLatch(1);
        loop.scheduleWithFixedDelay(1, () -> {
            if (runs.incrementAndGet() == 1) {
                fail(failure);
            }
            ranAgain.countDown();
        });
        assertThat(ranAgain.await(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against tasks that fail without a trace. */
    @ParameterizedTest
    @MethodSource("failures")
    void reportsWhatATaskThrows(Throwable failure) throws Exception {
        BlockingQueue<Throwable> reported = new LinkedBlockingQueue<>();
        loop.onTaskFailure(reported::add);
        loop.execute(() -> fail(failure));
        assertThat(reported.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(failure);
        loop.schedule(1, () -> fail(failure));
        assertThat(reported.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(failure);
    }
}
