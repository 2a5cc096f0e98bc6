package org.apricotstack.core.ratelimit;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PermitIssuerTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final long HOUR_MILLIS = 3_600_000;

    private final PermitIssuer issuer = new PermitIssuer();

    /** Requests a permit every ten milliseconds and returns the number of granted permits. */
    private int granted(double perSecond, long fromMillis, long untilMillis) {
        int granted = 0;
        for (long now = fromMillis; now < untilMillis; now += 10) {
            granted += issuer.grant(UPSTREAM, perSecond, 1, 1, now).permits();
        }
        return granted;
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 1, 1.7, 10, 50})
    void grantsTheLimitButNotMore(double perSecond) {
        granted(perSecond, 0, 10_000);
        assertThat(granted(perSecond, 10_000, 110_000))
                .isBetween((int) (99 * perSecond) - 1, (int) (100 * perSecond) + 1);
    }

    @Test
    void grantsNothingInTheFirstSecondAsIssuer() {
        assertThat(granted(5, 0, 1_000)).isZero();
        assertThat(granted(5, 1_000, 2_200)).isBetween(5, 6);
    }

    @Test
    void accumulatesOnlyASmallBurst() {
        granted(1, 0, 5_000);
        assertThat(issuer.grant(UPSTREAM, 1, 1, 100, HOUR_MILLIS).permits()).isEqualTo(2);
        assertThat(issuer.grant(UPSTREAM, 1, 1, 100, HOUR_MILLIS).permits()).isZero();
    }

    @Test
    void grantsOneRequestInTenSecondsAtALimitOfZeroSoThatARecoveryIsDetected() {
        assertThat(granted(0, 0, 110_000)).isBetween(9, 12);
    }

    @Test
    void grantsTheShareOfItsPartition() {
        issuer.grant(UPSTREAM, 10, 0.5, 1, 0);
        int granted = 0;
        for (long now = 10_000; now < 20_000; now += 10) {
            granted += issuer.grant(UPSTREAM, 10, 0.5, 1, now).permits();
        }
        assertThat(granted).isBetween(49, 54);
    }

    @Test
    void deductsRequestsSentWithoutAPermitFromLaterPermits() {
        granted(1, 0, 10_000);
        issuer.charge(UPSTREAM, 1, 1, 3, 10_000);
        assertThat(granted(1, 10_000, 12_900)).isZero();
        assertThat(granted(1, 12_900, 14_900)).isBetween(1, 2);
    }

    @Test
    void boundsTheDebtOfRequestsSentWithoutAPermit() {
        issuer.charge(UPSTREAM, 1, 1, 1_000, 0);
        assertThat(granted(1, 0, 6_000)).isPositive();
    }

    @Test
    void spacesTheRetriesOfRouters() {
        long first = issuer.grant(UPSTREAM, 2, 1, 1, 0).retryAfterMillis();
        long second = issuer.grant(UPSTREAM, 2, 1, 1, 0).retryAfterMillis();
        assertThat(first).isEqualTo(1_500);
        assertThat(second - first).isEqualTo(125);
    }

    @Test
    void boundsTheRetryTime() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(issuer.grant(UPSTREAM, 0.3, 1, 1, 0).retryAfterMillis()).isBetween(5L, 5_000L);
        }
    }

    @Test
    void removesUpstreamsThatAreNoLongerLimited() {
        issuer.grant(UPSTREAM, 1, 1, 1, 0);
        issuer.retain(new LimitTable());
        assertThat(issuer.size()).isZero();
    }
}
