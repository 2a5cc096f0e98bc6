package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.PermitIssuerSelection;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.wire.news.NewsFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Reports of rate limits and permit requests between two routers, and the traffic that they cause. */
class LimitChannelTest {

    private static final Address REQUESTER = new Address("10.0.0.1", 1);
    private static final Address ISSUER = new Address("10.0.0.2", 1);
    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 7);
    private static final int RECEIVERS = 25;

    /** Bytes a second that control traffic may cost a host. */
    private static final long CONTROL_BYTES_PER_SECOND = 2_000;

    private static final int SECONDS = 600;

    private static final List<LimitChange> CHANGES = List.of(LimitChange.BEGAN, LimitChange.CHANGED, LimitChange.ENDED);

    private long nowMillis = 100_000;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("own", () -> 0);
    private final Router requester = new Router("asker");
    private final Router issuer = new Router("keeper");

    /** One of two routers; the router named "keeper" issues all permits. */
    private final class Router implements LimitPeers {
        private final HostId own;
        private final LimitTable table = new LimitTable();
        private final List<NewsFrame> sent = new ArrayList<>();
        private HostId selectedIssuer = new HostId("keeper");
        private NewsFrame.Builder reported = NewsFrame.newBuilder();
        private final LimitChannel channel;

        Router(String own) {
            this.own = new HostId(own);
            this.channel = new LimitChannel(loop, LimitsInForce.advertisedOnly(table), this, log, () -> reported);
        }

        @Override
        public HostId own() {
            return own;
        }

        @Override
        public PermitIssuerSelection permitIssuerOf(UpstreamId upstream) {
            return new PermitIssuerSelection(selectedIssuer, 1);
        }

        @Override
        public Address addressOf(HostId host) {
            return ISSUER;
        }

        @Override
        public int others() {
            return RECEIVERS;
        }

        @Override
        public boolean isSuperseded(UpstreamId upstream) {
            return upstream.incarnation() < UPSTREAM.incarnation();
        }

        @Override
        public void openStreams() {
            // Both routers are reached without streams.
        }

        @Override
        public void sendToStandby(NewsFrame frame) {
            // There are no standby routers.
        }

        @Override
        public void send(Address address, NewsFrame frame) {
            sent.add(frame);
        }

        private long takeBytes() {
            long bytes = (long) reported.build().getSerializedSize() * RECEIVERS;
            reported = NewsFrame.newBuilder();
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

    private RateLimit advertise(Router router, UpstreamId upstream, double perSecond) {
        RateLimit limit = new RateLimit(perSecond, nowMillis);
        router.table.reportedByPeer(upstream, limit);
        return limit;
    }

    private List<PermitGrant> request(RateLimit limit, int wanted) {
        List<PermitGrant> answers = new ArrayList<>();
        onLoop(() -> requester.channel.requestPermits(UPSTREAM, limit, wanted, answers::add));
        List.copyOf(requester.sent).forEach(frame -> onLoop(() -> issuer.channel.receive(frame, REQUESTER)));
        requester.sent.clear();
        List.copyOf(issuer.sent).forEach(frame -> onLoop(() -> requester.channel.receive(frame, ISSUER)));
        issuer.sent.clear();
        return answers;
    }

    @Test
    void requestsPermitsFromTheIssuerWhichLearnsTheLimitFromTheRequest() {
        RateLimit limit = advertise(requester, UPSTREAM, 10);
        assertThat(request(limit, 2)).singleElement().satisfies(grant -> assertThat(grant.permits())
                .isZero());
        assertThat(issuer.table.find(UPSTREAM).perSecond()).isEqualTo(10);
        nowMillis += 1_500;
        assertThat(request(limit, 2)).containsExactly(new PermitGrant(2, 0));
    }

    @Test
    void grantsNothingIfAnotherRouterIsThePermitIssuer() {
        RateLimit limit = advertise(requester, UPSTREAM, 10);
        issuer.selectedIssuer = new HostId("third");
        nowMillis += 5_000;
        request(limit, 1);
        nowMillis += 5_000;
        assertThat(request(limit, 1)).containsExactly(new PermitGrant(0, 200));
    }

    @Test
    void learnsFromTheIssuerThatTheLimitHasChangedOrEnded() {
        RateLimit old = advertise(requester, UPSTREAM, 10);
        nowMillis += 10;
        advertise(issuer, UPSTREAM, 3);
        request(old, 1);
        assertThat(requester.table.find(UPSTREAM).perSecond()).isEqualTo(3);
        nowMillis += 10;
        issuer.table.limitEnded(UPSTREAM, nowMillis);
        request(requester.table.find(UPSTREAM), 1);
        assertThat(requester.table.isEmpty()).isTrue();
    }

    @Test
    void chargesRequestsWithoutAPermitToLaterPermits() {
        RateLimit limit = advertise(requester, UPSTREAM, 1);
        request(limit, 1);
        nowMillis += 10_000;
        onLoop(() -> requester.channel.charge(UPSTREAM, limit, 3));
        requester.sent.forEach(frame -> onLoop(() -> issuer.channel.receive(frame, REQUESTER)));
        requester.sent.clear();
        assertThat(request(limit, 1)).singleElement().satisfies(grant -> assertThat(grant.permits())
                .isZero());
    }

    @Test
    void reportsStartAndEndAndIgnoresSupersededIncarnations() {
        RateLimit limit = advertise(requester, UPSTREAM, 10);
        onLoop(() -> requester.channel.limitChanged(UPSTREAM, LimitChange.BEGAN, limit));
        onLoop(() -> issuer.channel.receive(requester.reported.build(), null));
        assertThat(issuer.table.find(UPSTREAM).perSecond()).isEqualTo(10);
        requester.reported = NewsFrame.newBuilder();
        nowMillis += 100;
        onLoop(() -> requester.channel.limitChanged(UPSTREAM, LimitChange.ENDED, new RateLimit(10, nowMillis)));
        onLoop(() -> issuer.channel.receive(requester.reported.build(), null));
        assertThat(issuer.table.isEmpty()).isTrue();
        UpstreamId earlier = new UpstreamId(UPSTREAM.value(), UPSTREAM.incarnation() - 1);
        requester.reported = NewsFrame.newBuilder();
        onLoop(() -> requester.channel.limitChanged(earlier, LimitChange.BEGAN, limit));
        onLoop(() -> issuer.channel.receive(requester.reported.build(), null));
        assertThat(issuer.table.isEmpty()).isTrue();
    }

    @Test
    void staysWithinTheControlTrafficBudgetWhileAHundredUpstreamsChangeTheirLimits() {
        long bytes = 0;
        for (int i = 0; i < SECONDS * 200; i++) {
            nowMillis += 5;
            UpstreamId upstream = new UpstreamId("upstream-" + i % 100, 7);
            LimitChange change = CHANGES.get(i / 100 % CHANGES.size());
            RateLimit limit = advertise(requester, upstream, 1 + i % 7);
            onLoop(() -> requester.channel.limitChanged(upstream, change, limit));
            onLoop(() -> requester.channel.requestPermits(upstream, limit, 1, grant -> {}));
            bytes += requester.takeBytes();
        }
        assertThat(bytes).isLessThan(CONTROL_BYTES_PER_SECOND * SECONDS);
        assertThat(requester.channel.dropped()).isPositive();
    }

    @Test
    void staysWithinTheControlTrafficBudgetAsIssuerOfAHundredLimits() {
        long bytes = 0;
        for (int i = 0; i < SECONDS * 200; i++) {
            nowMillis += 5;
            UpstreamId upstream = new UpstreamId("upstream-" + i % 100, 7);
            RateLimit limit = advertise(requester, upstream, 1 + i % 7);
            onLoop(() -> requester.channel.requestPermits(upstream, limit, 1, grant -> {}));
            requester.sent.forEach(frame -> onLoop(() -> issuer.channel.receive(frame, REQUESTER)));
            requester.sent.clear();
            bytes += issuer.takeBytes();
        }
        assertThat(bytes).isLessThan(CONTROL_BYTES_PER_SECOND * SECONDS);
    }
}
