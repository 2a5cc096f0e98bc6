package org.apricotstack.serving.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.upstream.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FailingListenerTest {

    private static final long WAIT_TIMEOUT_SECONDS = 15;
    private static final String UNFINISHED = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel";

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Throws an exception when the response begins. */
    private static final class ThrowingListener implements UpstreamListener {
        private final CompletableFuture<FailureKind> failure = new CompletableFuture<>();

        @Override
        public void head(ResponseHead head, HttpResponse raw) {
            throw new IllegalStateException("the response cannot be processed");
        }

        @Override
        public void data(ByteBuf data) {
            // The rest of the response does not matter.
        }

        @Override
        public void end() {
            failure.completeExceptionally(new AssertionError("The response is not complete."));
        }

        @Override
        public void failed(FailureKind kind) {
            failure.complete(kind);
        }
    }

    /** Guards against a request that waits for its time limit after the router failed to process its response. */
    @Test
    void endsTheCallOfAResponseThatCouldNotBeProcessed() throws Exception {
        CompletableFuture<Throwable> reported = new CompletableFuture<>();
        loop.onTaskFailure(reported::complete);
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Address address = new Address("127.0.0.1", serverSocket.getLocalPort());
            UpstreamConnections connections =
                    new UpstreamConnections(loop, new TcpConnectionOpener(loop), new LinkTable());
            ThrowingListener listener = new ThrowingListener();
            loop.execute(() -> connections.send(
                    address,
                    new PlainProtocol(),
                    null,
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                    Unpooled.EMPTY_BUFFER,
                    false,
                    listener));
            try (Socket socket = serverSocket.accept()) {
                respond(socket);
                assertThat(listener.failure.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                        .isEqualTo(FailureKind.CUT);
            }
        }
        assertThat(reported.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(IllegalStateException.class);
    }

    private static void respond(Socket socket) throws IOException {
        socket.getOutputStream().write(UNFINISHED.getBytes(StandardCharsets.US_ASCII));
    }
}
