package org.apricotstack.serving.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class FailingListenerTest {

    private static final long WAIT_TIMEOUT_SECONDS = 15;
    private static final String WHOLE = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    private static final String UNFINISHED = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel";
    private static final String MALFORMED = "no response\r\n\r\n";

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final BlockingQueue<Throwable> reported = new LinkedBlockingQueue<>();
    private final List<Socket> accepted = new ArrayList<>();

    @BeforeEach
    void collectReports() {
        loop.onTaskFailure(reported::add);
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : accepted) {
            socket.close();
        }
        loop.close();
    }

    /** The methods of a listener that a call invokes with a response or a failure. */
    private enum Site {
        MAY_BE_SENT,
        HEAD,
        DATA,
        END,
        FAILED
    }

    static Stream<Arguments> failuresAtEachSite() {
        return Stream.of(Site.values())
                .flatMap(site -> Stream.of(
                        Arguments.of(site, new IllegalStateException("the response cannot be processed")),
                        Arguments.of(site, new StackOverflowError())));
    }

    /** Throws at one of its methods. */
    private static final class ThrowingListener implements UpstreamListener {
        private final CompletableFuture<FailureKind> outcome = new CompletableFuture<>();
        private final Site site;
        private final Throwable failure;

        ThrowingListener(Site site, Throwable failure) {
            this.site = site;
            this.failure = failure;
        }

        private void reached(Site reached) {
            if (reached != site) {
                return;
            }
            if (failure instanceof Error error) {
                throw error;
            }
            throw (RuntimeException) failure;
        }

        @Override
        public boolean mayBeSent() {
            reached(Site.MAY_BE_SENT);
            return true;
        }

        @Override
        public void head(ResponseHead head, HttpResponse raw) {
            reached(Site.HEAD);
        }

        @Override
        public void data(ByteBuf data) {
            reached(Site.DATA);
        }

        @Override
        public void end() {
            reached(Site.END);
            outcome.complete(null);
        }

        @Override
        public void failed(FailureKind kind) {
            outcome.complete(kind);
            reached(Site.FAILED);
        }
    }

    /** Guards against a request that waits for its time limit after the router failed to process its response. */
    @ParameterizedTest
    @MethodSource("failuresAtEachSite")
    void endsTheCallOfAResponseThatCouldNotBeProcessed(Site site, Throwable failure) throws Exception {
        UpstreamConnections connections =
                new UpstreamConnections(loop, new TcpConnectionOpener(loop), new LinkTable(), response -> {});
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            ThrowingListener listener = new ThrowingListener(site, failure);
            call(connections, serverSocket, listener, site == Site.FAILED ? MALFORMED : WHOLE);
            assertThat(listener.outcome.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(site == Site.FAILED ? FailureKind.MALFORMED : FailureKind.CUT);
            assertThat(reported.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(failure);
            ThrowingListener next = new ThrowingListener(null, null);
            call(connections, serverSocket, next, WHOLE);
            assertThat(next.outcome.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNull();
        }
    }

    /** Guards against a request that waits for the rest of a response that the router failed to process. */
    @Test
    void endsTheCallOfAnUnfinishedResponseThatCouldNotBeProcessed() throws Exception {
        UpstreamConnections connections =
                new UpstreamConnections(loop, new TcpConnectionOpener(loop), new LinkTable(), response -> {});
        IllegalStateException failure = new IllegalStateException("the response cannot be processed");
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            ThrowingListener listener = new ThrowingListener(Site.HEAD, failure);
            call(connections, serverSocket, listener, UNFINISHED);
            assertThat(listener.outcome.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(FailureKind.CUT);
        }
        assertThat(reported.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(failure);
    }

    private void call(
            UpstreamConnections connections, ServerSocket serverSocket, UpstreamListener listener, String response)
            throws IOException {
        Address address = new Address("127.0.0.1", serverSocket.getLocalPort());
        loop.execute(() -> connections.send(
                address,
                new PlainProtocol(),
                null,
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                Unpooled.EMPTY_BUFFER,
                true,
                listener));
        Socket socket = serverSocket.accept();
        accepted.add(socket);
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }
}
