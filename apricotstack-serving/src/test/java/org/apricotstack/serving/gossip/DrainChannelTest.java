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

/** What routers tell each other of upstreams that announced that they leave. */
class DrainChannelTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 7);
    private static final Address SENDER = new Address("10.0.0.1", 1);

    private static final Duration PATIENCE = Duration.ofSeconds(15);

    private long nowMillis = 100_000;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("own", () -> 0);
    private final Router one = new Router();
    private final Router other = new Router();

    /** A router. */
    private final class Router implements GossipPeers {
        private final DrainTable table = new DrainTable();
        private final List<NewsFrame> standBy = new ArrayList<>();
        private NewsFrame.Builder told = NewsFrame.newBuilder();
        private int opened;
        private final DrainChannel channel = new DrainChannel(loop, table, this, log, () -> told);

        @Override
        public int others() {
            return 1;
        }

        @Override
        public boolean isOver(UpstreamId upstream) {
            return upstream.incarnation() < UPSTREAM.incarnation();
        }

        @Override
        public void openStreams() {
            opened++;
        }

        @Override
        public void tellStandBy(NewsFrame frame) {
            standBy.add(frame);
        }

        private void reads(AdvertisedDrain stated) {
            table.answerReceived(UPSTREAM, stated, nowMillis, nowMillis);
            channel.tell(UPSTREAM);
        }

        private NewsFrame takeTold() {
            NewsFrame frame = told.build();
            told = NewsFrame.newBuilder();
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
    void tellsOfADrainAndOfItsEnd() {
        onLoop(() -> {
            one.reads(AdvertisedDrain.DRAINING);
            other.channel.take(one.takeTold(), null);
            assertThat(one.opened).isEqualTo(1);
            assertThat(other.table.isDraining(UPSTREAM)).isTrue();
            assertThat(other.channel.any()).isTrue();
            nowMillis += 1_000;
            one.reads(AdvertisedDrain.SERVING);
            other.channel.take(one.takeTold(), null);
            assertThat(other.table.isEmpty()).isTrue();
        });
    }

    @Test
    void tellsRoutersThatStandByAgainAsDatagramsMayBeLost() {
        onLoop(() -> one.reads(AdvertisedDrain.DRAINING));
        onLoop(() -> assertThat(one.standBy).hasSize(1));
        NewsFrame frame = one.standBy.get(0);
        onLoop(() -> other.channel.take(frame, SENDER));
        assertThat(other.table.isDraining(UPSTREAM)).isTrue();
        assertThat(Flux.interval(Duration.ofMillis(20))
                        .map(look -> sizeOfStandBy())
                        .filter(size -> size == 3)
                        .blockFirst(PATIENCE))
                .isEqualTo(3);
    }

    private int sizeOfStandBy() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        loop.execute(() -> size.complete(one.standBy.size()));
        return size.join();
    }

    @Test
    void addsAllThatIsKnownForARouterThatMissedNews() {
        onLoop(() -> {
            one.reads(AdvertisedDrain.DRAINING);
            NewsFrame.Builder frame = NewsFrame.newBuilder();
            one.channel.addAll(frame);
            nowMillis += 50;
            other.channel.take(frame.build(), null);
        });
        assertThat(other.table.isDraining(UPSTREAM)).isTrue();
    }

    @Test
    void takesNoNewsOfAStartThatIsOverNorOnesThatAreOlderThanTheEnd() {
        UpstreamId earlier = new UpstreamId(UPSTREAM.value(), UPSTREAM.incarnation() - 1);
        onLoop(() -> {
            one.table.answerReceived(earlier, AdvertisedDrain.DRAINING, nowMillis, nowMillis);
            one.channel.tell(earlier);
            other.channel.take(one.takeTold(), null);
            assertThat(other.table.isEmpty()).isTrue();

            one.reads(AdvertisedDrain.DRAINING);
            NewsFrame begin = one.takeTold();
            other.channel.take(begin, null);
            nowMillis += 1_000;
            one.reads(AdvertisedDrain.SERVING);
            other.channel.take(one.takeTold(), null);
            NewsFrame.Builder late = begin.toBuilder();
            late.getDrainsBuilder(0).setAgoMillis(2_000);
            other.channel.take(late.build(), null);
            assertThat(other.table.isEmpty()).isTrue();
        });
    }
}
