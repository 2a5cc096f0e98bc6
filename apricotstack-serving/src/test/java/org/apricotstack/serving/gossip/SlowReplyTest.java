package org.apricotstack.serving.gossip;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A reply that arrives in parts, over a longer time than a stream may be silent. */
class SlowReplyTest {

    private static final long WAIT_SECONDS = 15;
    private static final long PART_MILLIS = 1_000;
    private static final int PARTS = 4;

    private static final EncodedFrame HEARTBEAT = EncodedFrame.of(NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("here"))
            .build());

    private static final NewsFrame REQUEST = NewsFrame.newBuilder()
            .setDocuments(DocumentRequest.getDefaultInstance())
            .build();

    private final AtomicLong nowMillis = new AtomicLong();
    private final ServingLoop loop = new ServingLoop(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis.get()));
    private final BlockingQueue<NewsReply> replies = new LinkedBlockingQueue<>();
    private final CompletableFuture<Boolean> closed = new CompletableFuture<>();
    private ServerSocket peer;
    private OutboundGossipStream stream;

    /** Records replies. */
    private final class RecordingHandler implements GossipHandler {
        @Override
        public void frame(NewsFrame frame, InboundGossipStream from) {
            throw new AssertionError("No frames are received here.");
        }

        @Override
        public NewsReply documents(DocumentRequest request) {
            throw new AssertionError("No documents are requested here.");
        }

        @Override
        public void reply(NewsReply reply, String source) {
            replies.add(reply);
        }
    }

    @BeforeEach
    void start() throws IOException {
        peer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        stream = new OutboundGossipStream(
                loop,
                new Address("127.0.0.1", peer.getLocalPort()),
                new RecordingHandler(),
                NewsFrame::getDefaultInstance,
                () -> closed.complete(true));
    }

    @AfterEach
    void stop() throws IOException {
        onLoop(stream::close);
        peer.close();
        loop.close();
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    private boolean isReceiving() {
        return CompletableFuture.supplyAsync(stream::isReceiving, loop::execute).join();
    }

    private void awaitReceiving() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!isReceiving()) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    /** Guards against a large reply that is discarded by the next request, again and again. */
    @Test
    void keepsAReplyOfWhichPartsKeepArriving() throws Exception {
        byte[] reply = NewsReply.newBuilder()
                .setUpstreamsRevision(1)
                .addUpstreamNames("x".repeat(10_000))
                .build()
                .toByteArray();
        onLoop(() -> stream.fetch(HEARTBEAT, REQUEST));
        try (Socket socket = peer.accept()) {
            InputStream in = socket.getInputStream();
            assertThat(in.read()).isNotNegative();
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(reply.length);
            int part = reply.length / PARTS;
            for (int i = 0; i < PARTS; i++) {
                out.write(reply, i * part, i == PARTS - 1 ? reply.length - i * part : part);
                out.flush();
                if (i < PARTS - 1) {
                    awaitReceiving();
                    nowMillis.addAndGet(PART_MILLIS);
                    onLoop(() -> stream.fetch(HEARTBEAT, REQUEST));
                    assertThat(closed).isNotDone();
                }
            }
            assertThat(replies.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
            assertThat(isReceiving()).isFalse();
        }
    }

    /** Guards against a router that waits for the rest of a reply and asks nobody else. */
    @Test
    void doesNotWaitForAReplyThatHasStopped() throws Exception {
        onLoop(() -> stream.fetch(HEARTBEAT, REQUEST));
        try (Socket socket = peer.accept()) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(1_000);
            out.flush();
            awaitReceiving();
            nowMillis.addAndGet(PART_MILLIS);
            assertThat(isReceiving()).isFalse();
        }
    }
}
