package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.PermitIssuerSelector;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.wire.news.NewsFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What two routers tell and ask each other of rate limits, and how much of it. */
class LimitChannelTest {

    private static final Address ASKER = new Address("10.0.0.1", 1);
    private static final Address KEEPER = new Address("10.0.0.2", 1);
    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 7);
    private static final int RECEIVERS = 25;

    /** Bytes a second that control may cost a host. */
    private static final long CONTROL_BYTES_PER_SECOND = 2_000;

    private static final int SECONDS = 600;

    private static final List<LimitChange> CHANGES = List.of(LimitChange.BEGAN, LimitChange.CHANGED, LimitChange.ENDED);

    private long nowMillis = 100_000;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("own", () -> 0);
    private final Router asker = new Router("asker");
    private final Router keeper = new Router("keeper");

    /** A router of two, of which the other one keeps all limits. */
    private final class Router implements LimitPeers {
        private final HostId own;
        private final LimitTable table = new LimitTable();
        private final List<NewsFrame> sent = new ArrayList<>();
        private HostId kept = new HostId("keeper");
        private NewsFrame.Builder told = NewsFrame.newBuilder();
        private final LimitChannel channel;

        Router(String own) {
            this.own = new HostId(own);
            this.channel = new LimitChannel(loop, table, this, log, () -> told);
        }

        @Override
        public HostId own() {
            return own;
        }

        @Override
        public PermitIssuerSelector permitIssuerOf(UpstreamId upstream) {
            return new PermitIssuerSelector(kept, 1);
        }

        @Override
        public Address addressOf(HostId host) {
            return KEEPER;
        }

        @Override
        public int others() {
            return RECEIVERS;
        }

        @Override
        public boolean isOver(UpstreamId upstream) {
            return upstream.incarnation() < UPSTREAM.incarnation();
        }

        @Override
        public void openStreams() {
            // Both are reached without streams.
        }

        @Override
        public void tellStandBy(NewsFrame frame) {
            // Nobody stands by.
        }

        @Override
        public void send(Address address, NewsFrame frame) {
            sent.add(frame);
        }

        private long takeBytes() {
            long bytes = (long) told.build().getSerializedSize() * RECEIVERS;
            told = NewsFrame.newBuilder();
            bytes += sent.stream().mapToLong(NewsFrame::getSerializedSize).sum();
            sent.clear();
            return bytes;
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

    private RateLimit name(Router router, UpstreamId upstream, double perSecond) {
        RateLimit limit = new RateLimit(perSecond, nowMillis);
        router.table.reportedByPeer(upstream, limit);
        return limit;
    }

    private List<PermitGrant> ask(RateLimit limit, int wanted) {
        List<PermitGrant> answers = new ArrayList<>();
        onLoop(() -> asker.channel.ask(UPSTREAM, limit, wanted, answers::add));
        List.copyOf(asker.sent).forEach(frame -> onLoop(() -> keeper.channel.take(frame, ASKER)));
        asker.sent.clear();
        List.copyOf(keeper.sent).forEach(frame -> onLoop(() -> asker.channel.take(frame, KEEPER)));
        keeper.sent.clear();
        return answers;
    }

    @Test
    void asksTheKeeperWhichLearnsTheLimitByTheQuestion() {
        RateLimit limit = name(asker, UPSTREAM, 10);
        assertThat(ask(limit, 2)).singleElement().satisfies(grant -> assertThat(grant.permits())
                .isZero());
        assertThat(keeper.table.find(UPSTREAM).perSecond()).isEqualTo(10);
        nowMillis += 1_500;
        assertThat(ask(limit, 2)).containsExactly(new PermitGrant(2, 0));
    }

    @Test
    void grantsNothingIfAnotherRouterKeepsTheLimit() {
        RateLimit limit = name(asker, UPSTREAM, 10);
        keeper.kept = new HostId("third");
        nowMillis += 5_000;
        ask(limit, 1);
        nowMillis += 5_000;
        assertThat(ask(limit, 1)).containsExactly(new PermitGrant(0, 200));
    }

    @Test
    void hearsFromTheKeeperThatTheLimitHasChangedOrEnded() {
        RateLimit old = name(asker, UPSTREAM, 10);
        nowMillis += 10;
        name(keeper, UPSTREAM, 3);
        ask(old, 1);
        assertThat(asker.table.find(UPSTREAM).perSecond()).isEqualTo(3);
        nowMillis += 10;
        keeper.table.ended(UPSTREAM, nowMillis);
        ask(asker.table.find(UPSTREAM), 1);
        assertThat(asker.table.isEmpty()).isTrue();
    }

    @Test
    void takesRequestsWithoutAPermitOffTheNextOnes() {
        RateLimit limit = name(asker, UPSTREAM, 1);
        ask(limit, 1);
        nowMillis += 10_000;
        onLoop(() -> asker.channel.charge(UPSTREAM, limit, 3));
        asker.sent.forEach(frame -> onLoop(() -> keeper.channel.take(frame, ASKER)));
        asker.sent.clear();
        assertThat(ask(limit, 1)).singleElement().satisfies(grant -> assertThat(grant.permits())
                .isZero());
    }

    @Test
    void tellsOthersOfABeginAndAnEndAndTakesNoNewsOfAnEarlierStart() {
        RateLimit limit = name(asker, UPSTREAM, 10);
        onLoop(() -> asker.channel.limitChanged(UPSTREAM, LimitChange.BEGAN, limit));
        onLoop(() -> keeper.channel.take(asker.told.build(), null));
        assertThat(keeper.table.find(UPSTREAM).perSecond()).isEqualTo(10);
        asker.told = NewsFrame.newBuilder();
        nowMillis += 100;
        onLoop(() -> asker.channel.limitChanged(UPSTREAM, LimitChange.ENDED, new RateLimit(10, nowMillis)));
        onLoop(() -> keeper.channel.take(asker.told.build(), null));
        assertThat(keeper.table.isEmpty()).isTrue();
        UpstreamId earlier = new UpstreamId(UPSTREAM.value(), UPSTREAM.incarnation() - 1);
        asker.told = NewsFrame.newBuilder();
        onLoop(() -> asker.channel.limitChanged(earlier, LimitChange.BEGAN, limit));
        onLoop(() -> keeper.channel.take(asker.told.build(), null));
        assertThat(keeper.table.isEmpty()).isTrue();
    }

    @Test
    void staysBelowWhatControlMayCostThoughAHundredUpstreamsNameNewLimitsWithEachAnswer() {
        long bytes = 0;
        for (int i = 0; i < SECONDS * 200; i++) {
            nowMillis += 5;
            UpstreamId upstream = new UpstreamId("upstream-" + i % 100, 7);
            LimitChange change = CHANGES.get(i / 100 % CHANGES.size());
            RateLimit limit = name(asker, upstream, 1 + i % 7);
            onLoop(() -> asker.channel.limitChanged(upstream, change, limit));
            onLoop(() -> asker.channel.ask(upstream, limit, 1, grant -> {}));
            bytes += asker.takeBytes();
        }
        assertThat(bytes).isLessThan(CONTROL_BYTES_PER_SECOND * SECONDS);
        assertThat(asker.channel.dropped()).isPositive();
    }

    @Test
    void answersNoMoreThanControlMayCostThoughItKeepsAHundredLimits() {
        long bytes = 0;
        for (int i = 0; i < SECONDS * 200; i++) {
            nowMillis += 5;
            UpstreamId upstream = new UpstreamId("upstream-" + i % 100, 7);
            RateLimit limit = name(asker, upstream, 1 + i % 7);
            onLoop(() -> asker.channel.ask(upstream, limit, 1, grant -> {}));
            asker.sent.forEach(frame -> onLoop(() -> keeper.channel.take(frame, ASKER)));
            asker.sent.clear();
            bytes += keeper.takeBytes();
        }
        assertThat(bytes).isLessThan(CONTROL_BYTES_PER_SECOND * SECONDS);
    }
}
