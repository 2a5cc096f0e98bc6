package org.apricotstack.serving.http;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests callers that have left before a busy router reads their requests. */
class DepartedCallerTest {

    private static final String REQUEST = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";

    /** Requests of other callers that are answered before the test looks at the departed one. */
    private static final int FURTHER_REQUESTS = 3;

    private final CallerServerFixture fixture = new CallerServerFixture();
    private final AtomicInteger started = new AtomicInteger();

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Counts the requests that are run, and answers them. */
    private final class CountingListener implements CallerRequestListener {

        private final CallerExchange exchange;

        CountingListener(CallerExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void body(ByteBuf body) {
            started.incrementAndGet();
            new AnsweringListener(exchange).body(body);
        }

        @Override
        public void disconnected() {
            // The run has not started.
        }

        @Override
        public void writable() {
            // There is no response to resume.
        }
    }

    private CountDownLatch blockLoop() {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.loop().execute(() -> {
            blocked.countDown();
            CallerServerFixture.await(release);
        });
        CallerServerFixture.await(blocked);
        return release;
    }

    /** Guards against work for a caller whose request and close are read together. */
    @ParameterizedTest
    @CsvSource({"close, false, 1", "close, true, 1", "close, true, 3", "reset, true, 1"})
    void runsNothingForACallerThatLeftBeforeItsRequestWasRead(String departure, boolean kept, int pipelined)
            throws IOException {
        fixture.handler((request, exchange) -> new CountingListener(exchange));
        try (RawConnection caller = new RawConnection(fixture.address())) {
            if (kept) {
                caller.send(REQUEST);
                assertThat(caller.read()).startsWith("HTTP/1.1 200");
            }
            int before = started.get();
            CountDownLatch release = blockLoop();
            caller.send(REQUEST.repeat(pipelined));
            if (departure.equals("reset")) {
                caller.reset();
            } else {
                caller.closeAndAwaitReceipt();
            }
            release.countDown();
            for (int i = 0; i < FURTHER_REQUESTS; i++) {
                try (RawConnection next = new RawConnection(fixture.address())) {
                    next.send(REQUEST);
                    assertThat(next.read()).startsWith("HTTP/1.1 200");
                }
            }
            assertThat(started.get()).isEqualTo(before + FURTHER_REQUESTS);
        }
    }

    @Test
    void runsPipelinedRequestsOfACallerThatStays() throws IOException {
        fixture.handler((request, exchange) -> new CountingListener(exchange));
        try (RawConnection caller = new RawConnection(fixture.address())) {
            CountDownLatch release = blockLoop();
            caller.send(REQUEST.repeat(3));
            release.countDown();
            for (int i = 0; i < 3; i++) {
                assertThat(caller.read()).startsWith("HTTP/1.1 200");
            }
        }
        assertThat(started.get()).isEqualTo(3);
    }
}
