package org.apricotstack.core.ratelimit;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitTableTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 7);

    private final LimitTable table = new LimitTable();

    private static AdvertisedLimit of(double perSecond) {
        return new AdvertisedLimit(AdvertisedLimit.Kind.STATED, perSecond);
    }

    @Test
    void keepsALimitWhileResponsesAdvertiseIt() {
        assertThat(table.answerReceived(UPSTREAM, of(2), 0, 100)).isEqualTo(LimitChange.BEGAN);
        assertThat(table.answerReceived(UPSTREAM, of(2), 150, 200)).isEqualTo(LimitChange.NONE);
        assertThat(table.answerReceived(UPSTREAM, of(5), 250, 300)).isEqualTo(LimitChange.CHANGED);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedLimit.ABSENT, 350, 400))
                .isEqualTo(LimitChange.ENDED);
        assertThat(table.isEmpty()).isTrue();
        assertThat(table.answerReceived(UPSTREAM, of(1), 450, 500)).isEqualTo(LimitChange.BEGAN);
    }

    @Test
    void keepsALimitOnAResponseToARequestSentBeforeItWasAdvertised() {
        table.answerReceived(UPSTREAM, of(2), 0, 100);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedLimit.ABSENT, 99, 120))
                .isEqualTo(LimitChange.NONE);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedLimit.ABSENT, 100, 121))
                .isEqualTo(LimitChange.NONE);
        assertThat(table.find(UPSTREAM).perSecond()).isEqualTo(2);
    }

    @Test
    void lowersALimitAtOnceButRaisesItOnlyAfterALaterRequest() {
        table.answerReceived(UPSTREAM, of(5), 0, 100);
        assertThat(table.answerReceived(UPSTREAM, of(2), 50, 110)).isEqualTo(LimitChange.CHANGED);
        assertThat(table.answerReceived(UPSTREAM, of(5), 90, 120)).isEqualTo(LimitChange.NONE);
        assertThat(table.find(UPSTREAM).perSecond()).isEqualTo(2);
        assertThat(table.answerReceived(UPSTREAM, of(5), 115, 130)).isEqualTo(LimitChange.CHANGED);
    }

    @Test
    void keepsTheLimitOnAnUnreadableValue() {
        assertThat(table.answerReceived(UPSTREAM, AdvertisedLimit.UNREADABLE, 0, 50))
                .isEqualTo(LimitChange.NONE);
        table.answerReceived(UPSTREAM, of(2), 0, 100);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedLimit.UNREADABLE, 150, 200))
                .isEqualTo(LimitChange.NONE);
        assertThat(table.find(UPSTREAM).perSecond()).isEqualTo(2);
    }

    @Test
    void appliesTheLatestReportOfPeers() {
        assertThat(table.reportedByPeer(UPSTREAM, new RateLimit(3, 100))).isEqualTo(LimitChange.BEGAN);
        assertThat(table.reportedByPeer(UPSTREAM, new RateLimit(1, 90))).isEqualTo(LimitChange.NONE);
        assertThat(table.reportedByPeer(UPSTREAM, new RateLimit(9, 110))).isEqualTo(LimitChange.CHANGED);
        assertThat(table.limitEnded(UPSTREAM, 105)).isEqualTo(LimitChange.NONE);
        assertThat(table.limitEnded(UPSTREAM, 120)).isEqualTo(LimitChange.ENDED);
    }

    @Test
    void ignoresReportsOlderThanTheEndOfALimit() {
        table.reportedByPeer(UPSTREAM, new RateLimit(3, 100));
        table.limitEnded(UPSTREAM, 120);
        assertThat(table.reportedByPeer(UPSTREAM, new RateLimit(3, 110))).isEqualTo(LimitChange.NONE);
        assertThat(table.reportedByPeer(UPSTREAM, new RateLimit(3, 130))).isEqualTo(LimitChange.BEGAN);
    }

    @Test
    void removesTheLimitOfAnUpstreamThatIsUnlistedForAMinute() {
        table.answerReceived(UPSTREAM, of(2), 0, 100);
        table.expire(id -> false, 60_100);
        assertThat(table.find(UPSTREAM)).isNotNull();
        table.expire(id -> true, 60_101);
        assertThat(table.find(UPSTREAM)).isNotNull();
        table.expire(id -> false, 60_101);
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void limitsEachIncarnationSeparately() {
        table.answerReceived(UPSTREAM, of(2), 0, 100);
        assertThat(table.find(new UpstreamId("upstream", 8))).isNull();
        assertThat(table.forget(UPSTREAM)).isTrue();
        assertThat(table.isEmpty()).isTrue();
    }
}
