package org.apricotstack.core.stop;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StopPolicyTest {

    private final StopPolicy policy = new StopPolicy(8_000, new AddressLifetime(1));

    @Test
    void takesEveryRequestBeforeTheSignal() {
        assertThat(policy.takes(Long.MAX_VALUE, 1_000_000)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "0, 7600, true",
        "0, 7601, false",
        "3000, 4600, true",
        "3000, 4601, false",
        "7590, 10, true",
        "7610, 1, false"
    })
    void takesOnlyRequestsThatAreCompletedBeforeTheEnd(long elapsedMillis, long longestMillis, boolean expected) {
        policy.timeline().begin(500);
        assertThat(policy.takes(longestMillis, 500 + elapsedMillis)).isEqualTo(expected);
    }

    @Test
    void keepsTheTimeOfTheFirstSignal() {
        policy.timeline().begin(1_000);
        policy.timeline().begin(5_000);
        assertThat(policy.timeline().elapsedMillis(6_000)).isEqualTo(5_000);
        assertThat(policy.timeline().leftMillis(6_000)).isEqualTo(2_600);
    }

    @Test
    void sendsRejectedCallersToAnotherRouterOrBackAfterTheRestart() {
        policy.timeline().begin(0);
        long longestMillis = 4_000;
        assertThat(policy.retryAfterMillis(new OtherRouters(true, 0, Long.MAX_VALUE), longestMillis, 5_000))
                .isEqualTo(100);
        assertThat(policy.retryAfterMillis(new OtherRouters(false, 4_000, 1_000), longestMillis, 5_000))
                .isEqualTo(100);
        assertThat(policy.retryAfterMillis(new OtherRouters(false, 3_900, 1_000), longestMillis, 5_000))
                .isEqualTo(1_000);
        assertThat(policy.retryAfterMillis(new OtherRouters(false, 0, Long.MAX_VALUE), longestMillis, 5_000))
                .isEqualTo(1_000);
        assertThat(policy.retryAfterMillis(new OtherRouters(false, 0, Long.MAX_VALUE), longestMillis, 2_000))
                .isEqualTo(2_200);
        assertThat(policy.retryAfterMillis(new OtherRouters(false, 3_900, 5_000), longestMillis, 2_000))
                .isEqualTo(1_600);
    }

    /** Callers cache the router's address, and find nobody there once it has ended. */
    @Test
    void doesNotEndWhileCallersMaySendRequestsThoughNoneIsOpen() {
        policy.timeline().begin(0);
        long forgottenMillis = new AddressLifetime(1).longestMillis();
        assertThat(policy.ends(0, forgottenMillis - 1)).isFalse();
        assertThat(policy.ends(0, forgottenMillis)).isTrue();
    }

    @Test
    void doesNotEndWhileARequestIsOpenThatTheTimeoutAllows() {
        policy.timeline().begin(0);
        assertThat(policy.ends(1, 7_599)).isFalse();
        assertThat(policy.ends(1, 7_600)).isTrue();
    }

    /** The others would send callers to it for as long as its timeout would have allowed. */
    @Test
    void announcesNoTimeOnceItHasEnded() {
        policy.timeline().begin(0);
        assertThat(policy.timeline().takesRequestsMillis(3_200)).isEqualTo(4_400);
        policy.timeline().end();
        assertThat(policy.timeline().takesRequestsMillis(3_200)).isZero();
    }
}
