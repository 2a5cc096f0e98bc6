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
import org.apricotstack.core.upstream.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A request whose upstream says that it wants none, while the connection to it is being opened. */
class WithheldRequestTest {

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Takes only the failure of a request that may not be sent. */
    private static final class Unsent implements UpstreamListener {
        private final CompletableFuture<FailureKind> failure = new CompletableFuture<>();

        @Override
        public boolean mayBeSent() {
            return false;
        }

        @Override
        public void head(ResponseHead head, HttpResponse raw) {
            answered();
        }

        @Override
        public void data(ByteBuf data) {
            answered();
        }

        @Override
        public void end() {
            answered();
        }

        private void answered() {
            failure.completeExceptionally(new AssertionError("No answer is expected."));
        }

        @Override
        public void failed(FailureKind kind) {
            failure.complete(kind);
        }
    }

    @Test
    void sendsNothingOverAConnectionThatWasOpenedTooLate() throws IOException {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());
            UpstreamConnections connections = new UpstreamConnections(loop);
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            Unsent listener = new Unsent();
            loop.execute(() ->
                    connections.send(address, new PlainProtocol(), null, head, Unpooled.EMPTY_BUFFER, false, listener));
            try (Socket socket = listening.accept()) {
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(listener.failure.join()).isEqualTo(FailureKind.WITHHELD);
        }
    }
}
