package org.apricotstack.serving.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnreadResponseTest {

    private static final int BODY_BYTES = 32 * 1024 * 1024;
    private static final int READ_BYTES = 8 * 1024 * 1024;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

    private volatile long skippedMillis;
    private final ServingLoop loop =
            new ServingLoop(() -> System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(skippedMillis));
    private final CallerServer server =
            new CallerServer(loop, UnreadResponseTest::readRequest, this::open, () -> CallerLimits.DEFAULT, 10);
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
        exchange.answer(
                HttpResponseStatus.OK,
                new DefaultHttpHeaders(),
                Unpooled.buffer(BODY_BYTES).writeZero(BODY_BYTES));
        return DiscardingRequestListener.INSTANCE;
    }

    /** Lets a share of the time pass after which idle connections are closed; closes those before and after. */
    private void pass(double share) {
        CompletableFuture.runAsync(server::closeTimedOut, loop::execute).join();
        skippedMillis += (long) (share * CallerLimits.DEFAULT.idleTimeoutMillis());
        CompletableFuture.runAsync(server::closeTimedOut, loop::execute).join();
    }

    private Socket slowCaller() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(BUFFER_BYTES);
        caller.setSoTimeout(WAIT_TIMEOUT_MILLIS);
        caller.connect(new InetSocketAddress(address.ip(), address.port()));
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    /** Guards against a response that is cut as idle while its caller reads it slowly. */
    @Test
    void cutsNoResponseThatItsCallerStillReads() throws IOException {
        try (Socket caller = slowCaller()) {
            long read = 0;
            for (int pause = 0; pause < 3; pause++) {
                read += caller.getInputStream().readNBytes(READ_BYTES).length;
                pass(0.6);
            }
            byte[] rest = caller.getInputStream().readNBytes((int) (BODY_BYTES - read));
            assertThat(read + rest.length).isEqualTo(BODY_BYTES);
        }
    }

    @Test
    void closesAConnectionWhoseResponseIsNoLongerRead() throws IOException {
        try (Socket caller = slowCaller()) {
            long read = caller.getInputStream().readNBytes(READ_BYTES).length;
            pass(1.1);
            pass(1.1);
            assertThat(read + caller.getInputStream().readAllBytes().length).isLessThan(BODY_BYTES);
        } catch (IOException e) {
            assertThat(e).hasMessageContaining("reset");
        }
    }
}
