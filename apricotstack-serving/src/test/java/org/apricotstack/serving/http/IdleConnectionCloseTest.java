package org.apricotstack.serving.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

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

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final CallerServer server =
            new CallerServer(loop, IdleConnectionCloseTest::readRequest, this::answer, () -> CallerLimits.DEFAULT, 10);
    private final Address address = server.listen(new Address("127.0.0.1", 0));

    @AfterEach
    void stop() {
        server.close();
        loop.close();
    }

    private static CallerRequest readRequest(HttpRequest head) {
        return new CallerRequest("", "", head.uri(), null, CallerRequest.NO_TIMEOUT, null, 0, 0, head);
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

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
