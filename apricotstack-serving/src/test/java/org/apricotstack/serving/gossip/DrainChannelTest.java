package org.apricotstack.serving.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.wire.news.NewsFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;

import static org.assertj.core.api.Assertions.assertThat;

/** Reports between routers about upstreams that announced a drain. */
class DrainChannelTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 7);
    private static final Address SENDER = new Address("10.0.0.1", 1);

    private static final Duration PATIENCE = Duration.ofSeconds(15);

    private long nowMillis = 100_000;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("own", () -> 0);
    private final Router one = new Router();
    private final Router other = new Router();

    /** A router with its own drain table and channel. */
    private final class Router implements GossipPeers {
        private final DrainTable table = new DrainTable();
        private final List<NewsFrame> standbyFrames = new ArrayList<>();
        private NewsFrame.Builder reported = NewsFrame.newBuilder();
        private int streamOpenings;
        private final DrainChannel channel = new DrainChannel(loop, table, this, log, () -> reported);

        @Override
        public int others() {
            return 1;
        }

        @Override
        public boolean isSuperseded(UpstreamId upstream) {
            return upstream.incarnation() < UPSTREAM.incarnation();
        }

        @Override
        public void openStreams() {
            streamOpenings++;
        }

        @Override
        public void sendToStandby(NewsFrame frame) {
            standbyFrames.add(frame);
        }

        private void receiveAnswer(AdvertisedDrain advertised) {
            table.answerReceived(UPSTREAM, advertised, nowMillis, nowMillis);
            channel.broadcast(UPSTREAM);
        }

        private NewsFrame takeReported() {
            NewsFrame frame = reported.build();
            reported = NewsFrame.newBuilder();
            return frame;
        }
    }

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    private void onLoop(Runnable task) {
        CompletableFuture.runAsync(task, loop::execute).join();
    }

    @Test
    void reportsStartAndEndOfADrain() {
        onLoop(() -> {
            one.receiveAnswer(AdvertisedDrain.DRAINING);
            other.channel.receive(one.takeReported(), null);
            assertThat(one.streamOpenings).isEqualTo(1);
            assertThat(other.table.isDraining(UPSTREAM)).isTrue();
            assertThat(other.channel.hasState()).isTrue();
            nowMillis += 1_000;
            one.receiveAnswer(AdvertisedDrain.SERVING);
            other.channel.receive(one.takeReported(), null);
            assertThat(other.table.isEmpty()).isTrue();
        });
    }

    @Test
    void repeatsDatagramsToStandbyRouters() {
        onLoop(() -> one.receiveAnswer(AdvertisedDrain.DRAINING));
        onLoop(() -> assertThat(one.standbyFrames).hasSize(1));
        NewsFrame frame = one.standbyFrames.get(0);
        onLoop(() -> other.channel.receive(frame, SENDER));
        assertThat(other.table.isDraining(UPSTREAM)).isTrue();
        assertThat(Flux.interval(Duration.ofMillis(20))
                        .map(tick -> standbyFrameCount())
                        .filter(size -> size == 3)
                        .blockFirst(PATIENCE))
                .isEqualTo(3);
    }

    private int standbyFrameCount() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        loop.execute(() -> size.complete(one.standbyFrames.size()));
        return size.join();
    }

    @Test
    void addsAllDrainsForARouterThatMissedUpdates() {
        onLoop(() -> {
            one.receiveAnswer(AdvertisedDrain.DRAINING);
            NewsFrame.Builder frame = NewsFrame.newBuilder();
            one.channel.addAll(frame);
            nowMillis += 50;
            other.channel.receive(frame.build(), null);
        });
        assertThat(other.table.isDraining(UPSTREAM)).isTrue();
    }

    @Test
    void ignoresSupersededIncarnationsAndNoticesOlderThanTheEnd() {
        UpstreamId earlier = new UpstreamId(UPSTREAM.value(), UPSTREAM.incarnation() - 1);
        onLoop(() -> {
            one.table.answerReceived(earlier, AdvertisedDrain.DRAINING, nowMillis, nowMillis);
            one.channel.broadcast(earlier);
            other.channel.receive(one.takeReported(), null);
            assertThat(other.table.isEmpty()).isTrue();

            one.receiveAnswer(AdvertisedDrain.DRAINING);
            NewsFrame started = one.takeReported();
            other.channel.receive(started, null);
            nowMillis += 1_000;
            one.receiveAnswer(AdvertisedDrain.SERVING);
            other.channel.receive(one.takeReported(), null);
            NewsFrame.Builder obsolete = started.toBuilder();
            obsolete.getDrainsBuilder(0).setAgoMillis(2_000);
            other.channel.receive(obsolete.build(), null);
            assertThat(other.table.isEmpty()).isTrue();
        });
    }
}
