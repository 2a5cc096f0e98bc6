package org.apricotstack.serving.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HandlerErrorTest {

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String FAILING = "GET /fails HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String NOT_RUN = "internal_error not_run";
    private static final String MAY_HAVE_RUN = "internal_error may_have_run";

    private final CallerServerFixture fixture = new CallerServerFixture();
    private RawConnection caller;

    @BeforeEach
    void connect() throws IOException {
        caller = new RawConnection(fixture.address());
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        fixture.close();
    }

    /** Throws when the body has arrived. */
    private static final class FailingListener implements CallerRequestListener {
        private final CallerExchange exchange;
        private final boolean begins;
        private boolean disconnected;

        FailingListener(CallerExchange exchange, boolean begins) {
            this.exchange = exchange;
            this.begins = begins;
        }

        @Override
        public void body(ByteBuf body) {
            body.release();
            if (begins) {
                exchange.begin(HttpResponseStatus.OK, new DefaultHttpHeaders());
            }
            throw new IllegalStateException("body");
        }

        @Override
        public void disconnected() {
            disconnected = true;
        }

        @Override
        public void writable() {
            // Nothing waits.
        }
    }

    private static CallerRequestListener fail(CallerRequest request, CallerExchange exchange) {
        throw new IllegalStateException("open");
    }

    @Test
    void answersARequestWhoseHeadersTheHandlerFailsOnAsNotRun() throws IOException {
        fixture.handler(HandlerErrorTest::fail);
        caller.send(REQUEST);
        assertThat(caller.readToEnd())
                .startsWith("HTTP/1.1 503")
                .contains("connection: close")
                .endsWith(NOT_RUN);
        assertThat(fixture.closes()).singleElement().satisfies(close -> {
            assertThat(close.cause()).isEqualTo(ConnectionCloseCause.HANDLER_ERROR);
            assertThat(close.requestId()).isEqualTo(CallerServerFixture.ID);
            assertThat(close.error()).isInstanceOf(IllegalStateException.class);
        });
    }

    @Test
    void answersARequestWhoseBodyTheHandlerFailsOnAsUnknown() throws IOException {
        CompletableFuture<FailingListener> opened = new CompletableFuture<>();
        fixture.handler((request, exchange) -> {
            opened.complete(new FailingListener(exchange, false));
            return opened.join();
        });
        caller.send(REQUEST);
        assertThat(caller.readToEnd())
                .startsWith("HTTP/1.1 502")
                .contains("connection: close")
                .endsWith(MAY_HAVE_RUN);
        assertThat(opened.join().disconnected).isTrue();
        assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.HANDLER_ERROR);
    }

    @Test
    void abortsAResponseAfterWhoseBeginTheHandlerFails() throws IOException {
        fixture.handler((request, exchange) -> new FailingListener(exchange, true));
        caller.send(REQUEST);
        assertThat(caller.readToEnd()).startsWith("HTTP/1.1 200").endsWith("\r\n\r\n");
        assertThat(fixture.closes()).singleElement().satisfies(close -> {
            assertThat(close.cause()).isEqualTo(ConnectionCloseCause.HANDLER_ERROR);
            assertThat(close.stage()).isEqualTo(RequestStage.ANSWERING);
        });
    }

    /** The second request is processed by the task that answers the first one, not by a read of its connection. */
    @Test
    void answersAPipelinedRequestThatTheHandlerFailsOn() throws IOException {
        CompletableFuture<CallerExchange> first = new CompletableFuture<>();
        fixture.handler((request, exchange) -> {
            if (request.target().equals("/fails")) {
                return fail(request, exchange);
            }
            first.complete(exchange);
            return DiscardingRequestListener.INSTANCE;
        });
        caller.send(REQUEST + FAILING);
        CallerExchange exchange = first.join();
        fixture.loop().execute(() -> CallerServerFixture.answer(null, exchange));
        assertThat(caller.read()).startsWith("HTTP/1.1 200");
        assertThat(caller.readToEnd()).startsWith("HTTP/1.1 503").endsWith(NOT_RUN);
    }

    /** Otherwise the connections would count against the maximum for ever. */
    @Test
    void forgetsConnectionsWhoseListenerFailsAtTheirEnd() throws IOException {
        for (int i = 0; i < CallerServerFixture.MAX_CONNECTIONS; i++) {
            CompletableFuture<Boolean> opened = new CompletableFuture<>();
            CompletableFuture<Boolean> ended = new CompletableFuture<>();
            fixture.handler((request, exchange) -> {
                opened.complete(true);
                return new FailingAtTheEnd(ended);
            });
            caller.send(REQUEST);
            assertThat(opened.join()).isTrue();
            caller.close();
            assertThat(ended.join()).isTrue();
            fixture.run(() -> {});
            caller = new RawConnection(fixture.address());
        }
        fixture.handler(CallerServerFixture::answer);
        caller.send(REQUEST);
        assertThat(caller.read()).startsWith("HTTP/1.1 200");
    }

    /**
     * Throws when the caller has disconnected.
     *
     * @param ended completed before that
     */
    private record FailingAtTheEnd(CompletableFuture<Boolean> ended) implements CallerRequestListener {

        @Override
        public void body(ByteBuf body) {
            body.release();
        }

        @Override
        public void disconnected() {
            ended.complete(true);
            throw new IllegalStateException("disconnected");
        }

        @Override
        public void writable() {
            // Nothing waits.
        }
    }
}
