package org.apricotstack.serving.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IdleConnectionCloseTest {

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
    private static final String SERVED = "HTTP/1.1 200 OK";

    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_NANOS = 1_000_000;

    private volatile CallerHandler handler = this::answer;
    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final CallerServer server =
            new CallerServer(loop, IdleConnectionCloseTest::readRequest, this::open, () -> CallerLimits.DEFAULT, 10);
    private final Address address = server.listen(new Address("127.0.0.1", 0));

    @AfterEach
    void stop() {
        server.close();
        loop.close();
    }

    private static CallerRequest readRequest(HttpRequest head) {
        return new CallerRequest("", "", head.uri(), null, CallerRequest.NO_TIMEOUT, null, 0, 0, List.of(), head);
    }

    private CallerRequestListener open(CallerRequest request, CallerExchange exchange) {
        return handler.open(request, exchange);
    }

    private CallerRequestListener answer(CallerRequest request, CallerExchange exchange) {
        exchange.answer(HttpResponseStatus.OK, new DefaultHttpHeaders(), CallerExchange.emptyBody());
        return DiscardingRequestListener.INSTANCE;
    }

    private static void send(Socket caller) throws IOException {
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readHead(BufferedReader in) throws IOException {
        String status = in.readLine();
        String line = status;
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
        return status;
    }

    /** The request is in the socket's buffer, but not yet read, while the connection is closed as idle. */
    @Test
    void dropsNoRequestThatArrivedBeforeItsConnectionIsClosedAsIdle() throws IOException {
        try (Socket caller = new Socket(address.ip(), address.port())) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
            send(caller);
            assertThat(readHead(in)).isEqualTo(SERVED);
            CountDownLatch entered = new CountDownLatch(1);
            CountDownLatch sent = new CountDownLatch(1);
            loop.execute(() -> {
                entered.countDown();
                await(sent);
                server.beginStop();
                server.closeIdle();
            });
            await(entered);
            send(caller);
            sent.countDown();
            assertThat(readHead(in)).isEqualTo(SERVED);
        }
    }

    /** The head of the response did not announce the close, so the caller would keep the connection. */
    @Test
    void closesAConnectionThatBecomesIdleAfterTheOthersWereClosed() throws IOException {
        try (Socket caller = new Socket(address.ip(), address.port());
                Socket idle = new Socket(address.ip(), address.port())) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(idle.getInputStream(), StandardCharsets.US_ASCII));
            idle.setSoTimeout(WAIT_TIMEOUT_MILLIS);
            send(idle);
            assertThat(readHead(in)).isEqualTo(SERVED);
            caller.setSoTimeout(WAIT_TIMEOUT_MILLIS);
            CompletableFuture<CallerExchange> opened = new CompletableFuture<>();
            handler = (request, exchange) -> {
                exchange.begin(HttpResponseStatus.OK, new DefaultHttpHeaders());
                opened.complete(exchange);
                return DiscardingRequestListener.INSTANCE;
            };
            send(caller);
            CallerExchange exchange = opened.join();
            loop.execute(() -> {
                server.beginStop();
                server.closeIdle();
            });
            assertThat(readHead(in)).isNull();
            loop.execute(exchange::complete);
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).startsWith(SERVED).endsWith("0\r\n\r\n").doesNotContain("connection: close");
        }
    }

    /** A half-closed connection accepts the request and never responds, so the caller must assume that it ran. */
    @Test
    void acceptsNoRequestOnAConnectionThatItClosedAsIdle() throws IOException {
        try (Socket caller = new Socket(address.ip(), address.port())) {
            caller.setSoTimeout(WAIT_TIMEOUT_MILLIS);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
            send(caller);
            assertThat(readHead(in)).isEqualTo(SERVED);
            loop.execute(() -> {
                server.beginStop();
                server.closeIdle();
            });
            assertThat(readHead(in)).isNull();
            CountDownLatch checked = new CountDownLatch(1);
            loop.execute(() -> await(checked));
            assertThat(refusesBytes(caller)).isTrue();
            checked.countDown();
        }
    }

    /** Returns whether sending fails because the router's kernel has closed the connection. */
    private static boolean refusesBytes(Socket caller) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MILLIS);
        try {
            while (System.nanoTime() < end) {
                caller.getOutputStream().write(REQUEST.charAt(0));
                LockSupport.parkNanos(POLL_NANOS);
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
