package org.apricotstack.core.upstream;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ResponseTimeTableTest {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final UpstreamId FIRST = new UpstreamId("first");
    private static final UpstreamId SECOND = new UpstreamId("second");

    private final ResponseTimeTable table = new ResponseTimeTable();

    private SpeedChange answered(UpstreamId upstream, long millis) {
        return table.answered(SERVICE, "route", upstream, millis, 0);
    }

    private void bothAnswerInUsualTime() {
        for (int i = 0; i < 20; i++) {
            answered(FIRST, 30);
            answered(SECOND, 30);
        }
    }

    @Test
    void findsASlowUpstreamAfterTwoAnswers() {
        bothAnswerInUsualTime();
        assertThat(answered(FIRST, 120)).isEqualTo(SpeedChange.NONE);
        assertThat(answered(FIRST, 120)).isEqualTo(SpeedChange.SLOW);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isBetween(2.5, 4.0);
        assertThat(table.slowdown(SERVICE, SECOND, 0)).isEqualTo(1);
    }

    /** Guards against a stall of the router or a new connection that marks an upstream as slow. */
    @ParameterizedTest
    @ValueSource(longs = {120, 180, 600})
    void ignoresOneLongAnswer(long millis) {
        bothAnswerInUsualTime();
        assertThat(answered(FIRST, millis)).isEqualTo(SpeedChange.NONE);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
        assertThat(answered(FIRST, 30)).isEqualTo(SpeedChange.NONE);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
        assertThat(answered(FIRST, millis)).isEqualTo(SpeedChange.NONE);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
    }

    /** Guards against one long answer that counts for two together with one of slightly above the usual time. */
    @Test
    void ignoresOneLongAnswerBesideOneOfHalfAboveTheUsualTime() {
        bothAnswerInUsualTime();
        assertThat(answered(FIRST, 45)).isEqualTo(SpeedChange.NONE);
        assertThat(answered(FIRST, 600)).isEqualTo(SpeedChange.NONE);
        assertThat(answered(FIRST, 45)).isEqualTo(SpeedChange.NONE);
    }

    @Test
    void ignoresALongSecondAnswerOfANewRouter() {
        assertThat(answered(FIRST, 30)).isEqualTo(SpeedChange.NONE);
        assertThat(answered(FIRST, 150)).isEqualTo(SpeedChange.NONE);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
    }

    @Test
    void triesASlowUpstreamWithOneRequestAnInterval() {
        bothAnswerInUsualTime();
        answered(FIRST, 120);
        answered(FIRST, 120);
        long due = ResponseTimeTable.TRIAL_INTERVAL_MILLIS;
        assertThat(table.slowdown(SERVICE, FIRST, due - 1)).isGreaterThan(1);
        assertThat(table.slowdown(SERVICE, FIRST, due)).isEqualTo(1);
        table.sent(SERVICE, FIRST, due);
        assertThat(table.slowdown(SERVICE, FIRST, due)).isGreaterThan(1);
        assertThat(table.slowdown(SERVICE, FIRST, 2 * due)).isEqualTo(1);
    }

    @Test
    void usesAnUpstreamAgainAfterFastTrials() {
        bothAnswerInUsualTime();
        answered(FIRST, 120);
        answered(FIRST, 120);
        SpeedChange change = answered(FIRST, 30);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
        change = change == SpeedChange.NONE ? answered(FIRST, 30) : change;
        assertThat(change).isEqualTo(SpeedChange.RECOVERED);
    }

    /** Guards against requests that all go elsewhere after a change that concerns all upstreams. */
    @Test
    void findsNoUpstreamSlowIfAllAre() {
        bothAnswerInUsualTime();
        for (int i = 0; i < 20; i++) {
            answered(FIRST, 120);
            answered(SECOND, 120);
        }
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
        assertThat(table.slowdown(SERVICE, SECOND, 0)).isEqualTo(1);
    }

    /** Guards against an upstream that counts as slow because it receives the requests with more work. */
    @Test
    void comparesAnswersOfTheSameRouteOnly() {
        for (int i = 0; i < 20; i++) {
            table.answered(SERVICE, "short", FIRST, 30, 0);
            table.answered(SERVICE, "long", FIRST, 300, 0);
            table.answered(SERVICE, "short", SECOND, 30, 0);
        }
        for (int i = 0; i < 5; i++) {
            assertThat(table.answered(SERVICE, "long", SECOND, 300, 0)).isEqualTo(SpeedChange.NONE);
        }
    }

    @Test
    void ignoresDelaysThatCallersDoNotNotice() {
        for (int i = 0; i < 20; i++) {
            answered(FIRST, 2);
            answered(SECOND, 16);
        }
        assertThat(table.slowdown(SERVICE, SECOND, 0)).isEqualTo(1);
    }

    @Test
    void forgetsRemovedUpstreams() {
        bothAnswerInUsualTime();
        answered(FIRST, 120);
        answered(FIRST, 120);
        table.retain(SECOND::equals);
        assertThat(table.slowdown(SERVICE, FIRST, 0)).isEqualTo(1);
        assertThat(table.expectedMillis(SERVICE, "route", FIRST)).isZero();
    }

    /** Guards against a table that grows with each service that was ever listed. */
    @Test
    void forgetsServicesWithoutUpstreams() {
        bothAnswerInUsualTime();
        table.retain(upstream -> false);
        answered(FIRST, 300);
        assertThat(table.expectedMillis(SERVICE, "route", FIRST)).isCloseTo(300, within(0.001));
    }

    /** Guards against a table that grows with each route that was ever configured. */
    @Test
    void forgetsRoutesWithoutAnswersForLong() {
        table.answered(SERVICE, "removed", FIRST, 30, 0);
        for (int i = 0; i < ServiceSpeeds.MAX_ROUTES; i++) {
            answered(FIRST, 30);
            table.answered(SERVICE, "route-" + i, FIRST, 30, 0);
        }
        assertThat(table.expectedMillis(SERVICE, "removed", FIRST)).isZero();
        assertThat(table.expectedMillis(SERVICE, "route", FIRST)).isPositive();
    }
}
