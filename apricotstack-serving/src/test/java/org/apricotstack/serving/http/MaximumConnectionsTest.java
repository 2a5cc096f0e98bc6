package org.apricotstack.serving.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MaximumConnectionsTest {

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String HALF_HEAD = "GET / HTTP/1.1\r\nHo";
    private static final String REST_OF_HEAD = "st: h\r\n\r\n";
    private static final String SERVED = "HTTP/1.1 200";

    /** Length of a response that does not fit into the buffers of the system. */
    private static final int UNREAD_BYTES = 32 * 1024 * 1024;

    private final CallerServerFixture fixture = new CallerServerFixture();
    private final List<RawConnection> callers = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (RawConnection caller : callers) {
            caller.close();
        }
        fixture.close();
    }

    private RawConnection connect() throws IOException {
        RawConnection caller = new RawConnection(fixture.address());
        callers.add(caller);
        return caller;
    }

    private void request(RawConnection caller) throws IOException {
        caller.send(REQUEST);
        assertThat(caller.read()).startsWith(SERVED);
        fixture.run(() -> {});
    }

    /** Opens connections up to the maximum, each of which becomes idle after a response. */
    private void fillWithIdle() throws IOException {
        while (callers.size() < CallerServerFixture.MAX_CONNECTIONS) {
            request(connect());
        }
    }

    /** Leaves all requests from now on without a response; returns what counts down the given number of them. */
    private CountDownLatch hold(int requests) {
        CountDownLatch opened = new CountDownLatch(requests);
        fixture.handler((request, exchange) -> {
            opened.countDown();
            return DiscardingRequestListener.INSTANCE;
        });
        return opened;
    }

    /** Idle connections kept new callers away for as long as they liked. */
    @Test
    void closesTheLongestIdleConnectionForANewOne() throws IOException {
        fillWithIdle();
        request(callers.get(0));
        request(connect());
        assertThat(callers.get(1).readToEnd()).isEmpty();
        assertThat(fixture.closes()).singleElement().satisfies(close -> {
            assertThat(close.cause()).isEqualTo(ConnectionCloseCause.IDLE_AT_MAXIMUM);
            assertThat(close.stage()).isEqualTo(RequestStage.IDLE);
        });
        request(callers.get(0));
        request(callers.get(2));
    }

    @Test
    void closesAConnectionThatHasNeverCarriedARequest() throws IOException {
        RawConnection unused = connect();
        fillWithIdle();
        request(connect());
        assertThat(unused.readToEnd()).isEmpty();
    }

    @Test
    void refusesANewConnectionWhileAllHaveRequestsInFlight() throws IOException {
        CountDownLatch opened = hold(CallerServerFixture.MAX_CONNECTIONS);
        while (callers.size() < CallerServerFixture.MAX_CONNECTIONS) {
            connect().send(REQUEST);
        }
        CallerServerFixture.await(opened);
        assertThat(connect().readToEnd()).isEmpty();
        assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.TOO_MANY_CONNECTIONS);
    }

    @Test
    void choosesTheOnlyIdleConnectionHoweverShortItHasBeenIdle() throws IOException {
        fillWithIdle();
        CountDownLatch opened = hold(CallerServerFixture.MAX_CONNECTIONS - 1);
        for (RawConnection caller : callers.subList(0, CallerServerFixture.MAX_CONNECTIONS - 1)) {
            caller.send(REQUEST);
        }
        CallerServerFixture.await(opened);
        RawConnection idle = callers.get(CallerServerFixture.MAX_CONNECTIONS - 1);
        fixture.handler(CallerServerFixture::answer);
        request(connect());
        assertThat(idle.readToEnd()).isEmpty();
    }

    @Test
    void keepsConnectionsOnWhichAHeadIsArriving() throws IOException {
        RawConnection arriving = connect();
        arriving.send(HALF_HEAD);
        fixture.awaitArriving();
        fillWithIdle();
        request(connect());
        assertThat(callers.get(1).readToEnd()).isEmpty();
        arriving.send(REST_OF_HEAD);
        assertThat(arriving.read()).startsWith(SERVED);
    }

    @Test
    void keepsConnectionsOnWhichAHeadBeganInTheReadOfTheRequestBefore() throws IOException {
        RawConnection arriving = connect();
        arriving.send(REQUEST + HALF_HEAD);
        assertThat(arriving.read()).startsWith(SERVED);
        fillWithIdle();
        request(connect());
        assertThat(callers.get(1).readToEnd()).isEmpty();
        arriving.send(REST_OF_HEAD);
        assertThat(arriving.read()).startsWith(SERVED);
    }

    /** A connection whose caller does not read cannot make room. */
    @Test
    void choosesNoConnectionWithAResponseThatIsNotWritten() throws IOException {
        fixture.handler((request, exchange) -> {
            ByteBuf body = Unpooled.wrappedBuffer(new byte[UNREAD_BYTES]);
            exchange.answer(HttpResponseStatus.OK, new DefaultHttpHeaders(), body);
            return DiscardingRequestListener.INSTANCE;
        });
        connect().send(REQUEST);
        fixture.awaitArriving();
        fixture.handler(CallerServerFixture::answer);
        fillWithIdle();
        request(connect());
        assertThat(callers.get(1).readToEnd()).isEmpty();
    }

    /** Lets bytes arrive on connections, and new connections be opened, before the server reads or accepts any. */
    private void whileTheLoopStands(Arrival arrival) throws IOException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch arrived = new CountDownLatch(1);
        fixture.loop().execute(() -> {
            entered.countDown();
            CallerServerFixture.await(arrived);
        });
        CallerServerFixture.await(entered);
        arrival.run();
        arrived.countDown();
    }

    @FunctionalInterface
    private interface Arrival {
        void run() throws IOException;
    }

    /** The request is in the socket's buffer, but not yet read, while its connection is the longest idle one. */
    @Test
    void servesAndKeepsTheLongestIdleConnectionIfARequestHasArrivedOnIt() throws IOException {
        fillWithIdle();
        RawConnection longestIdle = callers.get(0);
        whileTheLoopStands(() -> {
            connect();
            longestIdle.send(REQUEST);
        });
        assertThat(longestIdle.read()).startsWith(SERVED);
        fixture.awaitIdleCheck();
        request(longestIdle);
    }

    @Test
    void countsNoConnectionAsLeavingOnWhichARequestHasArrived() throws IOException {
        fillWithIdle();
        CountDownLatch opened = hold(1);
        whileTheLoopStands(() -> {
            connect();
            callers.get(0).send(REQUEST);
        });
        CallerServerFixture.await(opened);
        fixture.awaitIdleCheck();
        fixture.handler(CallerServerFixture::answer);
        callers.get(1).closeAndAwaitReceipt();
        request(callers.get(3));
        request(connect());
        assertThat(callers.get(2).readToEnd()).isEmpty();
    }

    @Test
    void exceedsTheMaximumByOneInEightAtMostUntilIdleConnectionsAreClosed() throws IOException {
        fillWithIdle();
        whileTheLoopStands(() -> {
            for (int i = 0; i < 3; i++) {
                connect();
            }
        });
        assertThat(callers.get(CallerServerFixture.MAX_CONNECTIONS + 1).readToEnd())
                .isEmpty();
        assertThat(callers.get(CallerServerFixture.MAX_CONNECTIONS + 2).readToEnd())
                .isEmpty();
        assertThat(callers.get(0).readToEnd()).isEmpty();
        assertThat(fixture.causes())
                .containsExactly(
                        ConnectionCloseCause.TOO_MANY_CONNECTIONS,
                        ConnectionCloseCause.TOO_MANY_CONNECTIONS,
                        ConnectionCloseCause.IDLE_AT_MAXIMUM);
    }
}
