package org.apricotstack.serving.http;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReceiveTimeoutTest {

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String HALF_HEAD = "GET / HTTP/1.1\r\nHo";
    private static final String REST_OF_HEAD = "st: h\r\n\r\n";
    private static final String HALF_BODY = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo";
    private static final String REST_OF_BODY = "dy";
    private static final String SERVED = "HTTP/1.1 200";
    private static final String TIMED_OUT = "HTTP/1.1 408";

    private static final long IDLE_MILLIS = 10_000;
    private static final long HEADER_MILLIS = 3_000;
    private static final long SHORT_MILLIS = 100;
    private static final CallerLimits LONG = new CallerLimits(4_096, 1_000, HEADER_MILLIS, IDLE_MILLIS);
    private static final CallerLimits SHORT = new CallerLimits(4_096, 1_000, SHORT_MILLIS, SHORT_MILLIS);

    private final CallerServerFixture fixture = new CallerServerFixture();
    private RawConnection caller;

    @BeforeEach
    void connect() throws IOException {
        fixture.limits(LONG);
        caller = new RawConnection(fixture.address());
        caller.send(REQUEST);
        assertThat(caller.read()).startsWith(SERVED);
        awaitProcessed();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        fixture.close();
    }

    /** Waits until the read that caused a response, or called the handler, has been processed. */
    private void awaitProcessed() {
        fixture.run(() -> {});
    }

    private void sweep() {
        fixture.run(fixture.server()::closeTimedOut);
    }

    /** Lets bytes arrive in the socket's buffer, then the time pass and a sweep run before they are read. */
    private void sweepBeforeReading(String arriving, long passingMillis) throws IOException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        fixture.loop().execute(() -> {
            entered.countDown();
            CallerServerFixture.await(sent);
            fixture.advance(passingMillis);
            fixture.server().closeTimedOut();
        });
        CallerServerFixture.await(entered);
        caller.send(arriving);
        sent.countDown();
    }

    /** A caller reuses a connection for as long as the timeout that it knows. */
    @Test
    void keepsAnIdleConnectionForTheTimeoutInForceWhenItBecameIdle() throws IOException {
        fixture.limits(SHORT);
        fixture.advance(IDLE_MILLIS);
        sweep();
        fixture.awaitIdleCheck();
        caller.send(REQUEST);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesARequestThatArrivedBeforeItsIdleConnectionTimesOut() throws IOException {
        sweepBeforeReading(REQUEST, IDLE_MILLIS + 1);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesARequestWhoseHeadArrivedWholeBeforeItsTimeout() throws IOException {
        caller.send(HALF_HEAD);
        fixture.awaitArriving();
        sweepBeforeReading(REST_OF_HEAD, HEADER_MILLIS + 1);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void servesARequestWhoseBodyArrivedWholeBeforeItsTimeout() throws IOException {
        CountDownLatch opened = openUntilTheBodyIsWhole();
        caller.send(HALF_BODY);
        CallerServerFixture.await(opened);
        sweepBeforeReading(REST_OF_BODY, IDLE_MILLIS + 1);
        assertThat(caller.read()).startsWith(SERVED);
    }

    private CountDownLatch openUntilTheBodyIsWhole() {
        CountDownLatch opened = new CountDownLatch(1);
        fixture.handler((request, exchange) -> {
            opened.countDown();
            return new AnsweringListener(exchange);
        });
        return opened;
    }

    @Test
    void closesAnIdleConnectionWithoutAResponseAfterItsTimeout() throws IOException {
        fixture.advance(IDLE_MILLIS + 1);
        sweep();
        assertThat(caller.readToEnd()).isEmpty();
        assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.IDLE_TIMEOUT);
    }

    @Test
    void keepsAnArrivingHeadForTheTimeoutInForceWhenItBegan() throws IOException {
        caller.send(HALF_HEAD);
        fixture.awaitArriving();
        fixture.limits(SHORT);
        fixture.advance(HEADER_MILLIS);
        sweep();
        fixture.awaitIdleCheck();
        caller.send(REST_OF_HEAD);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void closesAConnectionOnceThatTwoSweepsFindTimedOut() throws IOException {
        fixture.advance(IDLE_MILLIS + 1);
        fixture.run(() -> {
            fixture.server().closeTimedOut();
            fixture.server().closeTimedOut();
        });
        assertThat(caller.readToEnd()).isEmpty();
        assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.IDLE_TIMEOUT);
    }

    @Test
    void refusesAHeadThatDoesNotArriveInTime() throws IOException {
        caller.send(HALF_HEAD);
        fixture.awaitArriving();
        fixture.advance(HEADER_MILLIS + 1);
        sweep();
        sweep();
        assertThat(caller.readToEnd()).startsWith(TIMED_OUT).endsWith("not_run").containsOnlyOnce("HTTP/1.1");
        assertThat(fixture.closes()).singleElement().satisfies(close -> {
            assertThat(close.cause()).isEqualTo(ConnectionCloseCause.HEADER_TIMEOUT);
            assertThat(close.stage()).isEqualTo(RequestStage.HEAD_ARRIVING);
        });
    }

    @Test
    void refusesABodyThatDoesNotArriveInTime() throws IOException {
        CountDownLatch opened = openUntilTheBodyIsWhole();
        caller.send(HALF_BODY);
        CallerServerFixture.await(opened);
        awaitProcessed();
        fixture.advance(IDLE_MILLIS + 1);
        sweep();
        assertThat(caller.readToEnd()).startsWith(TIMED_OUT).endsWith("not_run");
        assertThat(fixture.closes()).singleElement().satisfies(close -> {
            assertThat(close.cause()).isEqualTo(ConnectionCloseCause.BODY_TIMEOUT);
            assertThat(close.requestId()).isEqualTo(CallerServerFixture.ID);
        });
    }

    /** The response came before the body, which never completes. */
    @Test
    void sendsNoSecondResponseIfABodyDoesNotArriveInTime() throws IOException {
        caller.send(HALF_BODY);
        assertThat(caller.read()).startsWith(SERVED);
        awaitProcessed();
        fixture.advance(IDLE_MILLIS + 1);
        sweep();
        assertThat(caller.readToEnd()).isEmpty();
        assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.BODY_TIMEOUT);
    }

    @Test
    void servesARequestWhoseHeadBeganInTheReadOfTheOneBefore() throws IOException {
        caller.send(REQUEST + HALF_HEAD);
        assertThat(caller.read()).startsWith(SERVED);
        fixture.run(() -> {
            fixture.server().beginStop();
            fixture.server().closeIdle();
        });
        fixture.awaitIdleCheck();
        caller.send(REST_OF_HEAD);
        assertThat(caller.read()).startsWith(SERVED);
    }

    @Test
    void appliesTheHeaderTimeoutToAHeadThatBeganInTheReadOfTheOneBefore() throws IOException {
        caller.send(REQUEST + HALF_HEAD);
        assertThat(caller.read()).startsWith(SERVED);
        awaitProcessed();
        fixture.advance(HEADER_MILLIS + 1);
        sweep();
        assertThat(caller.readToEnd()).startsWith(TIMED_OUT);
    }

    /** Some callers send an empty line behind a body. */
    @Test
    void takesAnEmptyLineBehindARequestForNoRequest() throws IOException {
        caller.send(REQUEST + "\r\n");
        assertThat(caller.read()).startsWith(SERVED);
        fixture.run(() -> {
            fixture.server().beginStop();
            fixture.server().closeIdle();
        });
        assertThat(caller.readToEnd()).isEmpty();
        assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.IDLE_AT_STOP);
    }
}
