package org.apricotstack.serving.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.upstream.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a request whose upstream becomes unavailable while the connection to it is being opened. */
class WithheldRequestTest {

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Rejects sending, and expects only the resulting failure. */
    private static final class RejectingListener implements UpstreamListener {
        private final CompletableFuture<FailureKind> failure = new CompletableFuture<>();

        @Override
        public boolean mayBeSent() {
            return false;
        }

        @Override
        public void head(ResponseHead head, HttpResponse raw) {
            failOnResponse();
        }

        @Override
        public void data(ByteBuf data) {
            failOnResponse();
        }

        @Override
        public void end() {
            failOnResponse();
        }

        private void failOnResponse() {
            failure.completeExceptionally(new AssertionError("No answer is expected."));
        }

        @Override
        public void failed(FailureKind kind) {
            failure.complete(kind);
        }
    }

    @Test
    void sendsNothingIfTheUpstreamBecomesUnavailableWhileConnecting() throws IOException {
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Address address = new Address("127.0.0.1", serverSocket.getLocalPort());
            UpstreamConnections connections =
                    new UpstreamConnections(loop, new TcpConnectionOpener(loop), new LinkTable(), response -> {});
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            RejectingListener listener = new RejectingListener();
            loop.execute(() ->
                    connections.send(address, new PlainProtocol(), null, head, Unpooled.EMPTY_BUFFER, false, listener));
            try (Socket socket = serverSocket.accept()) {
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(listener.failure.join()).isEqualTo(FailureKind.WITHHELD);
        }
    }
}
