package org.apricotstack.serving.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import org.apricotstack.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ChangedLimitsTest {

    private static final int SMALL = 100;
    private static final int LARGE = 8_000;
    private static final CallerLimits SMALL_LIMITS = limits(SMALL);
    private static final CallerLimits LARGE_LIMITS = limits(LARGE);
    private static final String SERVED = "HTTP/1.1 200";
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String LONG_HEAD_BEGIN = "GET / HTTP/1.1\r\nHost: h\r\nX-Long: ";
    private static final String LONG_HEAD_END = "x".repeat(LARGE / 2) + "\r\n\r\n";

    private final CallerServerFixture fixture = new CallerServerFixture();
    private RawConnection caller;

    private static CallerLimits limits(int bytes) {
        return new CallerLimits(bytes, bytes, 3_000, 10_000);
    }

    @BeforeEach
    void handleBodies() {
        fixture.handler((request, exchange) -> new AnsweringListener(exchange));
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        fixture.close();
    }

    private void connect(CallerLimits limits) throws IOException {
        fixture.limits(limits);
        caller = new RawConnection(fixture.address());
        caller.send(REQUEST);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesABodyThatWasProperWhenItsHeadArrived() throws IOException {
        connect(LARGE_LIMITS);
        CountDownLatch opened = new CountDownLatch(1);
        fixture.handler((request, exchange) -> {
            opened.countDown();
            return new AnsweringListener(exchange);
        });
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + LARGE + "\r\n\r\n");
        CallerServerFixture.await(opened);
        fixture.limits(SMALL_LIMITS);
        caller.send("x".repeat(LARGE));
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesABodyThatALargerLimitAllowsOnceItArrives() throws IOException {
        connect(SMALL_LIMITS);
        CountDownLatch opened = new CountDownLatch(1);
        fixture.handler((request, exchange) -> {
            opened.countDown();
            return new AnsweringListener(exchange);
        });
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        CallerServerFixture.await(opened);
        fixture.limits(LARGE_LIMITS);
        caller.send("3e8\r\n" + "x".repeat(1_000) + "\r\n0\r\n\r\n");
        assertThat(caller.read()).startsWith(SERVED);
    }

    /** The second request waits behind the first one, during whose run the limits become smaller. */
    @Test
    void servesAPipelinedRequestThatWasProperWhenItArrived() throws IOException {
        connect(LARGE_LIMITS);
        CompletableFuture<CallerExchange> first = new CompletableFuture<>();
        fixture.handler((request, exchange) ->
                first.complete(exchange) ? DiscardingRequestListener.INSTANCE : new AnsweringListener(exchange));
        caller.send(REQUEST + LONG_HEAD_BEGIN + LONG_HEAD_END);
        CallerExchange exchange = first.join();
        fixture.run(() -> {});
        fixture.limits(SMALL_LIMITS);
        fixture.run(() -> CallerServerFixture.answer(null, exchange));
        assertThat(caller.read()).startsWith(SERVED);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesHeadersThatTheConfigurationInForceAllows() throws IOException {
        connect(SMALL_LIMITS);
        fixture.limits(LARGE_LIMITS);
        caller.send(LONG_HEAD_BEGIN + LONG_HEAD_END);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesHeadersThatWereProperWhenTheyBeganToArrive() throws IOException {
        connect(LARGE_LIMITS);
        caller.send(LONG_HEAD_BEGIN);
        fixture.awaitArriving();
        fixture.limits(SMALL_LIMITS);
        caller.send(LONG_HEAD_END);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void refusesHeadersThatBeganToArriveUnderASmallerLimit() throws IOException {
        connect(LARGE_LIMITS);
        fixture.limits(SMALL_LIMITS);
        caller.send(LONG_HEAD_BEGIN + LONG_HEAD_END);
        assertThat(caller.readToEnd()).startsWith("HTTP/1.1 431");
    }

    @Test
    void refusesARequestLineThatBeganToArriveUnderASmallerLimit() throws IOException {
        connect(LARGE_LIMITS);
        fixture.limits(SMALL_LIMITS);
        caller.send("GET /" + "x".repeat(SMALL) + " HTTP/1.1\r\nHost: h\r\n\r\n");
        assertThat(caller.readToEnd()).startsWith("HTTP/1.1 414");
    }

    @Test
    void refusesABodyThatBeganToArriveUnderASmallerLimit() throws IOException {
        connect(LARGE_LIMITS);
        fixture.limits(SMALL_LIMITS);
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + LARGE + "\r\n\r\n");
        assertThat(caller.readToEnd()).startsWith("HTTP/1.1 413");
    }
}
