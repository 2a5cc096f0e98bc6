package org.apricotstack.core.ratelimit;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ColdTableTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final UpstreamId NEXT_START = new UpstreamId("upstream", 2);

    private final ColdTable table = new ColdTable();

    private long remaining(long nowMillis) {
        ColdState state = table.find(UPSTREAM, nowMillis);
        return state == null ? 0 : state.untilMillis() - nowMillis;
    }

    @Test
    void countsAnEntryFromWhenItIsLearntUntilANewerOne() {
        assertThat(table.listed(UPSTREAM, AdvertisedCold.of(3_000), 0, 1_000)).isEqualTo(LimitChange.BEGAN);
        assertThat(remaining(1_000)).isEqualTo(3_000);
        assertThat(remaining(4_000)).isZero();
        assertThat(table.listed(UPSTREAM, AdvertisedCold.of(0), 0, 2_000)).isEqualTo(LimitChange.ENDED);
        assertThat(remaining(2_000)).isZero();
    }

    @Test
    void startsColdOnlyIfTheEntryDoesNotSayOtherwise() {
        table.listed(UPSTREAM, AdvertisedCold.of(0), 3_000, 0);
        assertThat(remaining(0)).isZero();
        table.listed(UPSTREAM, AdvertisedCold.UNREADABLE, 3_000, 0);
        assertThat(remaining(0)).isEqualTo(3_000);
    }

    @Test
    void doesNotLetADelayedResponseShortenNewerKnowledge() {
        table.answerReceived(UPSTREAM, AdvertisedCold.of(5_000), 90, 100);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedCold.of(0), 50, 150))
                .isEqualTo(LimitChange.NONE);
        assertThat(remaining(150)).isEqualTo(4_950);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedCold.of(0), 160, 200))
                .isEqualTo(LimitChange.ENDED);
        assertThat(remaining(200)).isZero();
    }

    @Test
    void doesNotLetAnEntryShortenWhatAResponseStated() {
        table.answerReceived(UPSTREAM, AdvertisedCold.of(5_000), 90, 100);
        table.listed(UPSTREAM, AdvertisedCold.of(0), 0, 200);
        assertThat(remaining(200)).isEqualTo(4_900);
    }

    @Test
    void isColdAgainAtAnyMoment() {
        table.listed(UPSTREAM, AdvertisedCold.of(1_000), 0, 0);
        assertThat(table.expire(1_000)).containsOnlyKeys(UPSTREAM);
        table.answerReceived(UPSTREAM, AdvertisedCold.of(2_000), 4_990, 5_000);
        assertThat(remaining(5_000)).isEqualTo(2_000);
    }

    @Test
    void ignoresDelayedReportsOfOtherRouters() {
        table.answerReceived(UPSTREAM, AdvertisedCold.of(5_000), 90, 100);
        table.answerReceived(UPSTREAM, AdvertisedCold.of(0), 290, 300);
        table.reportedByPeer(UPSTREAM, 4_500, 250, ColdSource.RESPONSE, 350);
        assertThat(remaining(350)).isZero();
        table.reportedByPeer(UPSTREAM, 4_500, 340, ColdSource.RESPONSE, 350);
        assertThat(remaining(350)).isEqualTo(4_500);
    }

    @Test
    void doesNotApplyToTheNextStart() {
        table.listed(UPSTREAM, AdvertisedCold.of(1_000), 0, 0);
        assertThat(table.find(NEXT_START, 0)).isNull();
    }

    @ParameterizedTest
    @CsvSource({
        "0, STATED, 0",
        "1500, STATED, 1500",
        "0.2, STATED, 1",
        "1e300, STATED, 600000",
        "'10, 20', STATED, 20",
        "-1, UNREADABLE, 0",
        "soon, UNREADABLE, 0",
        "NaN, UNREADABLE, 0"
    })
    void readsStatedTimes(String value, AdvertisedCold.Kind kind, long millis) {
        assertThat(AdvertisedCold.parse(List.of(value))).isEqualTo(new AdvertisedCold(kind, millis));
    }

    @Test
    void takesTheLowerOfTheAdvertisedLimitAndTheBoundOnColdUpstreams() {
        LimitTable advertised = new LimitTable();
        LimitsInForce limits = new LimitsInForce(advertised, table, upstream -> 15, () -> 100);
        table.listed(UPSTREAM, AdvertisedCold.of(1_000), 0, 100);
        assertThat(limits.find(UPSTREAM).perSecond()).isEqualTo(15);
        advertised.reportedByPeer(UPSTREAM, new RateLimit(4, 100));
        assertThat(limits.find(UPSTREAM)).isEqualTo(new RateLimit(4, -900, PermitTerms.EVERY_SECOND));
    }

    @ParameterizedTest
    @CsvSource({"1.5, 5, 15, 15", "1, 0, 15, 8", "1.5, 5, 0, 0", "0, 0, 15, 0.1"})
    void grantsTheToleratedRateOrWhatFitsIntoTheBound(double overage, double slack, double perSecond, double granted) {
        assertThat(new ColdBound(overage, slack).permitsPerSecond(perSecond)).isEqualTo(granted);
    }
}
