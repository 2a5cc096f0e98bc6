package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.relay.RelayServer;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.apricotstack.wire.news.Placed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OutboundGossipStreamTest {

    /** Timeout for a frame, in seconds. */
    private static final long PATIENCE_SECONDS = 15;

    private static final int MAX_CONNECTIONS = 1_000;

    private static final EncodedFrame HEARTBEAT = EncodedFrame.of(NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("here"))
            .build());

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final BlockingQueue<NewsFrame> received = new LinkedBlockingQueue<>();
    private final GossipServer server = new GossipServer(
            loop,
            new Address("127.0.0.1", 0),
            new RecordingHandler(),
            RelayServer.none(loop),
            MAX_CONNECTIONS,
            cause -> {});
    private final List<Long> inFlight = new ArrayList<>();
    private final OutboundGossipStream stream = new OutboundGossipStream(
            loop, new Address("127.0.0.1", server.port()), new RecordingHandler(), this::fullState, () -> {});

    @AfterEach
    void stop() {
        onLoop(stream::close);
        server.close();
        loop.close();
    }

    /** Records the frames that the peer receives. */
    private final class RecordingHandler implements GossipHandler {
        @Override
        public void frame(NewsFrame frame, InboundGossipStream stream) {
            received.add(frame);
        }

        @Override
        public NewsReply documents(DocumentRequest request) {
            return NewsReply.getDefaultInstance();
        }

        @Override
        public void reply(NewsReply reply, String source) {
            // Replies to heartbeats are irrelevant here.
        }
    }

    private NewsFrame fullState() {
        NewsFrame.Builder frame = NewsFrame.newBuilder().setWhole(true);
        inFlight.forEach(number -> frame.addPlaced(Placed.newBuilder().setNumber(number)));
        return frame.build();
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    private void startPlacement(long number) {
        inFlight.add(number);
        stream.send(EncodedFrame.of(NewsFrame.newBuilder()
                .addPlaced(Placed.newBuilder().setNumber(number))
                .build()));
    }

    private void endPlacement(long number) {
        inFlight.remove(number);
        stream.send(EncodedFrame.of(NewsFrame.newBuilder().addEnded(number).build()));
    }

    private NewsFrame nextFrame() throws InterruptedException {
        NewsFrame frame = received.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertThat(frame).as("the next frame").isNotNull();
        return frame;
    }

    /**
     * Guards against a restarted router that counts idle engines as busy for seconds. Another router opens a stream to
     * it, and a placement ends while the connection is being opened. The end was dropped, as the stream was not ready,
     * although the placement had been reported.
     */
    @Test
    void sendsTheFullStateOnceConnected() throws InterruptedException {
        onLoop(() -> {
            startPlacement(1);
            startPlacement(2);
            stream.heartbeat(HEARTBEAT, 500);
            endPlacement(1);
        });
        assertThat(nextFrame().hasHeartbeat()).isTrue();
        NewsFrame whole = nextFrame();
        assertThat(whole.getWhole()).isTrue();
        assertThat(whole.getPlacedList()).extracting(Placed::getNumber).containsExactly(2L);
    }

    @Test
    void sendsTheFullStateAgainAfterASkippedUpdate() throws InterruptedException {
        onLoop(() -> stream.heartbeat(HEARTBEAT, 500));
        assertThat(nextFrame().hasHeartbeat()).isTrue();
        assertThat(nextFrame().getWhole()).isTrue();
        onLoop(() -> {
            inFlight.add(7L);
            stream.markOutOfSync();
            startPlacement(8);
        });
        NewsFrame whole = nextFrame();
        assertThat(whole.getWhole()).isTrue();
        assertThat(whole.getPlacedList()).extracting(Placed::getNumber).containsExactly(7L, 8L);
        assertThat(nextFrame().getPlacedList()).extracting(Placed::getNumber).containsExactly(8L);
    }
}
