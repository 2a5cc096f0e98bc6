package org.apricotstack.serving.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.upstream.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Connections whose bytes consist of many small pieces, and others that wait for their turn. */
class SmallPiecesTest {

    private static final int PIECES = 10_000;
    private static final int WAIT_TIMEOUT_MILLIS = 15_000;

    /** Pieces of one connection that may be processed before another connection that was ready with it. */
    private static final int MAX_PIECES_AHEAD = 1_000;

    private static final String CHUNKS = "1\r\nx\r\n".repeat(PIECES);
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final AtomicInteger pieces = new AtomicInteger();

    @AfterEach
    void close() {
        loop.close();
    }

    /** Keeps the event loop from reading until the latch is released. */
    private CountDownLatch block() {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            Uninterruptibles.awaitUninterruptibly(release);
        });
        Uninterruptibles.awaitUninterruptibly(blocked);
        return release;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** A response whose pieces are counted. */
    private final class CountingListener implements UpstreamListener {
        private final CompletableFuture<Integer> piecesAtEnd = new CompletableFuture<>();
        private final boolean counted;

        private CountingListener(boolean counted) {
            this.counted = counted;
        }

        @Override
        public void head(ResponseHead head, HttpResponse raw) {}

        @Override
        public void data(ByteBuf data) {
            if (counted) {
                pieces.incrementAndGet();
            }
        }

        @Override
        public void end() {
            piecesAtEnd.complete(pieces.get());
        }

        @Override
        public void failed(FailureKind kind) {
            piecesAtEnd.completeExceptionally(new AssertionError(kind));
        }
    }

    private CountingListener send(UpstreamConnections connections, ServerSocket server, boolean counted) {
        CountingListener listener = new CountingListener(counted);
        Address address = new Address("127.0.0.1", server.getLocalPort());
        loop.execute(() -> connections.send(
                address,
                new PlainProtocol(),
                null,
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                Unpooled.EMPTY_BUFFER,
                true,
                listener));
        return listener;
    }

    /** Guards against an upstream whose small chunks keep the answers of all others waiting. */
    @Test
    void readsAnAnswerThatArrivesBesideManySmallChunks() throws IOException {
        UpstreamConnections connections =
                new UpstreamConnections(loop, new TcpConnectionOpener(loop), new LinkTable(), response -> {});
        try (ServerSocket small = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket sound = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CountingListener flood = send(connections, small, true);
            CountingListener answer = send(connections, sound, false);
            try (Socket first = small.accept();
                    Socket second = sound.accept()) {
                first.getInputStream().read();
                second.getInputStream().read();
                CountDownLatch release = block();
                write(first, CHUNKED + CHUNKS + "0\r\n\r\n");
                write(second, WHOLE);
                release.countDown();
                assertThat(answer.piecesAtEnd.join()).isLessThan(MAX_PIECES_AHEAD);
                assertThat(flood.piecesAtEnd.join()).isEqualTo(PIECES);
            }
        }
    }

    /** Counts the chunks of bodies, each of which is compared with the limits. */
    private CallerLimits countedLimits() {
        pieces.incrementAndGet();
        return CallerLimits.DEFAULT;
    }

    private static CallerRequest readRequest(HttpRequest head) {
        return new CallerRequest("id", "", head.uri(), null, CallerRequest.NO_TIMEOUT, null, 0, 0, List.of(), head);
    }

    /** Answers with the length of the body, and with the pieces that were processed before. */
    private CallerRequestListener open(CallerRequest request, CallerExchange exchange) {
        int piecesBefore = pieces.get();
        return new CallerRequestListener() {
            @Override
            public void body(ByteBuf body) {
                int bytes = body.readableBytes();
                body.release();
                exchange.answer(HttpResponseStatus.OK, bytes + " bytes after " + piecesBefore + " pieces.");
            }

            @Override
            public void disconnected() {}

            @Override
            public void writable() {}
        };
    }

    private static String readUntil(Socket caller, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = caller.getInputStream().read();
            assertThat(next).as("byte after \"%s\"", text).isNotNegative();
            text.append((char) next);
        }
        return text.toString();
    }

    private Socket connect(Address address) throws IOException {
        Socket caller = new Socket(address.ip(), address.port());
        caller.setSoTimeout(WAIT_TIMEOUT_MILLIS);
        write(caller, GET);
        readUntil(caller, "pieces.");
        return caller;
    }

    /** Guards against a caller whose small chunks keep all others waiting. */
    @Test
    void readsARequestThatArrivesBesideManySmallChunks() throws IOException {
        try (CallerServer server =
                new CallerServer(loop, SmallPiecesTest::readRequest, this::open, this::countedLimits, 2)) {
            Address address = server.listen(new Address("127.0.0.1", 0));
            try (Socket first = connect(address);
                    Socket second = connect(address)) {
                CountDownLatch release = block();
                write(first, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS + "0\r\n\r\n");
                write(second, GET);
                release.countDown();
                String answer = readUntil(second, " pieces.");
                String before = answer.substring(answer.indexOf("after ") + 6, answer.indexOf(" pieces."));
                assertThat(Integer.parseInt(before)).isLessThan(MAX_PIECES_AHEAD);
                assertThat(readUntil(first, " pieces.")).contains(PIECES + " bytes");
            }
        }
    }
}
