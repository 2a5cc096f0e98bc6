package org.apricotstack.serving.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class FailingHandlerTest {

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    private final CallerServerFixture fixture = new CallerServerFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** The methods of a handler and its listener that a request invokes. */
    private enum Site {
        OPEN,
        FAILED_TO_OPEN,
        BODY,
        FAILED_BODY,
        DISCONNECTED
    }

    static Stream<Arguments> failuresAtEachSite() {
        return Stream.of(Site.values())
                .flatMap(site -> Stream.of(
                        Arguments.of(site, new IllegalStateException("handler")),
                        Arguments.of(site, new StackOverflowError())));
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    /**
     * Throws at one site.
     *
     * @param site where it throws
     * @param failure what it throws
     * @param ended completed when the caller has disconnected
     */
    private record FailingHandler(Site site, Throwable failure, CompletableFuture<Void> ended)
            implements CallerHandler, CallerRequestListener {

        @Override
        public CallerRequestListener open(CallerRequest request, CallerExchange exchange) {
            if (site == Site.OPEN || site == Site.FAILED_TO_OPEN) {
                fail(failure);
            }
            return this;
        }

        @Override
        public void failed(CallerRequest request, CallerExchange exchange) {
            if (site == Site.FAILED_TO_OPEN) {
                fail(failure);
            }
        }

        @Override
        public void body(ByteBuf body) {
            body.release();
            if (site == Site.BODY || site == Site.FAILED_BODY) {
                fail(failure);
            }
        }

        @Override
        public void failed() {
            if (site == Site.FAILED_BODY) {
                fail(failure);
            }
        }

        @Override
        public void disconnected() {
            ended.complete(null);
            if (site == Site.DISCONNECTED) {
                fail(failure);
            }
        }

        @Override
        public void writable() {
            // Nothing waits.
        }
    }

    /** Guards against a caller that waits for its own timeout, and a router that serves nobody after a failure. */
    @ParameterizedTest
    @MethodSource("failuresAtEachSite")
    void refusesTheRequestAndServesTheNextOne(Site site, Throwable failure) throws IOException {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        fixture.handler(new FailingHandler(site, failure, ended));
        try (RawConnection caller = new RawConnection(fixture.address())) {
            caller.send(REQUEST);
            if (site != Site.DISCONNECTED) {
                boolean notRun = site == Site.OPEN || site == Site.FAILED_TO_OPEN;
                assertThat(caller.readToEnd()).startsWith(notRun ? "HTTP/1.1 503" : "HTTP/1.1 502");
                assertThat(fixture.causes()).containsExactly(ConnectionCloseCause.HANDLER_ERROR);
            }
        }
        if (site == Site.DISCONNECTED) {
            ended.join();
        }
        fixture.handler(CallerServerFixture::answer);
        try (RawConnection caller = new RawConnection(fixture.address())) {
            caller.send(REQUEST);
            assertThat(caller.read()).startsWith("HTTP/1.1 200");
        }
    }
}
