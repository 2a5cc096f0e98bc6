package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.apricotstack.wire.news.Placed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OutboundGossipStreamTest {

    /** Longest time that a test waits for a frame, in seconds; it fails then. */
    private static final long PATIENCE_SECONDS = 15;

    private static final EncodedFrame HEARTBEAT = EncodedFrame.of(NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("here"))
            .build());

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final BlockingQueue<NewsFrame> arrived = new LinkedBlockingQueue<>();
    private final GossipServer server = new GossipServer(loop, new Address("127.0.0.1", 0), new Arrivals());
    private final List<Long> open = new ArrayList<>();
    private final OutboundGossipStream link = new OutboundGossipStream(
            loop, new Address("127.0.0.1", server.port()), new Arrivals(), this::allNews, () -> {});

    @AfterEach
    void stop() {
        onLoop(link::close);
        server.close();
        loop.close();
    }

    /** Takes what the peer is told. */
    private final class Arrivals implements GossipHandler {
        @Override
        public void frame(NewsFrame frame, InboundGossipStream stream) {
            arrived.add(frame);
        }

        @Override
        public NewsReply documents(DocumentRequest request) {
            return NewsReply.getDefaultInstance();
        }

        @Override
        public void reply(NewsReply reply, String source) {
            // Answers to heartbeats tell nothing here.
        }
    }

    private NewsFrame allNews() {
        NewsFrame.Builder frame = NewsFrame.newBuilder().setWhole(true);
        open.forEach(number -> frame.addPlaced(Placed.newBuilder().setNumber(number)));
        return frame.build();
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    private void place(long number) {
        open.add(number);
        link.send(EncodedFrame.of(NewsFrame.newBuilder()
                .addPlaced(Placed.newBuilder().setNumber(number))
                .build()));
    }

    private void end(long number) {
        open.remove(number);
        link.send(EncodedFrame.of(NewsFrame.newBuilder().addEnded(number).build()));
    }

    private NewsFrame next() throws InterruptedException {
        NewsFrame frame = arrived.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertThat(frame).as("the next frame").isNotNull();
        return frame;
    }

    /**
     * Symptom: a router that has just started believes engines to be busy for seconds. Sequence: another one opens a
     * stream to it and writes down what is open; while the connection is being made a placement ends. Cause: its end
     * was dropped, as the stream was not ready, after the placement had been told.
     */
    @Test
    void tellsWhatIsOpenWhenTheConnectionStandsAndNotBefore() throws InterruptedException {
        onLoop(() -> {
            place(1);
            place(2);
            link.heartbeat(HEARTBEAT, 500);
            end(1);
        });
        assertThat(next().hasHeartbeat()).isTrue();
        NewsFrame whole = next();
        assertThat(whole.getWhole()).isTrue();
        assertThat(whole.getPlacedList()).extracting(Placed::getNumber).containsExactly(2L);
    }

    @Test
    void tellsAllThatIsOpenAgainAfterNewsThatWereNotForThePeer() throws InterruptedException {
        onLoop(() -> link.heartbeat(HEARTBEAT, 500));
        assertThat(next().hasHeartbeat()).isTrue();
        assertThat(next().getWhole()).isTrue();
        onLoop(() -> {
            open.add(7L);
            link.skip();
            place(8);
        });
        NewsFrame whole = next();
        assertThat(whole.getWhole()).isTrue();
        assertThat(whole.getPlacedList()).extracting(Placed::getNumber).containsExactly(7L, 8L);
        assertThat(next().getPlacedList()).extracting(Placed::getNumber).containsExactly(8L);
    }
}
