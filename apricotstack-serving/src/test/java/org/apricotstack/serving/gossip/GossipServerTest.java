package org.apricotstack.serving.gossip;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.relay.RelayServer;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class GossipServerTest {

    /** Timeout for a read, in milliseconds. */
    private static final int PATIENCE_MILLIS = 15_000;

    private static final int MAX_CONNECTIONS = 1_000;

    private static final NewsFrame HEARTBEAT = NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("peer"))
            .build();

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final GossipServer server = new GossipServer(
            loop,
            new Address("127.0.0.1", 0),
            new DocumentHandler(),
            RelayServer.none(loop),
            MAX_CONNECTIONS,
            cause -> {});

    @AfterEach
    void stop() {
        server.close();
        loop.close();
    }

    /** Replies to every document request with one revision. */
    private static final class DocumentHandler implements GossipHandler {
        @Override
        public void frame(NewsFrame frame, InboundGossipStream stream) {
            // Frames are irrelevant here.
        }

        @Override
        public NewsReply documents(DocumentRequest request) {
            return NewsReply.newBuilder().setUpstreamsRevision(7).build();
        }

        @Override
        public void reply(NewsReply reply, String source) {
            throw new AssertionError("A server asks for nothing.");
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(PATIENCE_MILLIS);
        return socket;
    }

    private static void send(Socket socket, NewsFrame frame) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.getSerializedSize());
        frame.writeTo(out);
        out.flush();
    }

    private static NewsReply reply(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        return NewsReply.parseFrom(in.readNBytes(in.readInt()));
    }

    private long malformed() {
        CompletableFuture<Long> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(server.malformed()));
        return read.join();
    }

    @Test
    void repliesOnlyToHeartbeatsAndDocumentRequests() throws IOException {
        try (Socket peer = connect()) {
            send(peer, HEARTBEAT);
            send(peer, NewsFrame.newBuilder().addEnded(1).build());
            send(
                    peer,
                    NewsFrame.newBuilder()
                            .setDocuments(DocumentRequest.getDefaultInstance())
                            .build());
            assertThat(reply(peer)).isEqualTo(NewsReply.getDefaultInstance());
            assertThat(reply(peer).getUpstreamsRevision()).isEqualTo(7);
        }
    }

    /**
     * Guards against a router that runs out of memory or stops receiving from its peers because something else
     * connects to its gossip port: a browser, a scanner, or a router with a corrupted stream. The first bytes would be
     * taken for the length of a message, and be waited for or allocated.
     */
    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\n\r\n", "\u007f\u007f\u007f\u007f", "\0\0\0\u0002\u00ff\u00ff"})
    void closesMalformedStreamsAndServesOthers(String bytes) throws IOException {
        try (Socket otherClient = connect();
                Socket peer = connect()) {
            otherClient.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            assertThat(otherClient.getInputStream().read()).isNegative();
            assertThat(malformed()).isEqualTo(1);
            send(peer, HEARTBEAT);
            assertThat(reply(peer)).isEqualTo(NewsReply.getDefaultInstance());
        }
    }
}
