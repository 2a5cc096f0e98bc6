package org.apricotstack.core.stop;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

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
        policy.timeline().begin(500, 500);
        assertThat(policy.takes(longestMillis, 500 + elapsedMillis)).isEqualTo(expected);
    }

    @Test
    void keepsTheTimeOfTheFirstSignal() {
        policy.timeline().begin(1_000, 1_000);
        policy.timeline().begin(5_000, 5_000);
        assertThat(policy.timeline().elapsedMillis(6_000)).isEqualTo(5_000);
        assertThat(policy.timeline().leftMillis(6_000)).isEqualTo(2_600);
    }

    private static OtherRouters ready(Long... stopLeftMillis) {
        return new OtherRouters(true, List.of(stopLeftMillis));
    }

    private static OtherRouters stopping(Long... stopLeftMillis) {
        return new OtherRouters(false, List.of(stopLeftMillis));
    }

    /** Returns the duration of a request with a deadline that no stop reaches. */
    private static RequestDuration duration(long longestMillis) {
        return new RequestDuration(longestMillis, 10_000);
    }

    static Stream<Arguments> retryAfterTimes() {
        return Stream.of(
                arguments("the others are ready", 5_000, ready(), 100),
                arguments("a stopping one takes it", 5_000, stopping(4_100L, 1_000L), 100),
                arguments("a stopping one takes it now but not later", 5_000, stopping(4_099L, 1_000L), 1_000),
                arguments("none is known, after its own restart", 3_600, stopping(), 1_000),
                arguments("the same, rejected 1,400 ms later than the first ones", 5_000, stopping(), 1_700),
                arguments("the same with one that still stops", 5_000, stopping(3_900L), 1_050),
                arguments("none is known, once idle connections are closed", 2_000, stopping(), 2_200),
                arguments("it restarts while others still stop", 3_600, stopping(3_800L, 3_900L), 1_000),
                arguments("another stopping one takes it too", 2_500, ready(5_100L), 100),
                arguments("another stopping one takes it now but not when it is late", 3_600, ready(4_750L), 350),
                arguments("callers have forgotten the other stopping one", 4_500, ready(3_900L), 100));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("retryAfterTimes")
    void sendsRejectedCallersToAnotherRouterOrBackAfterTheRestart(
            String name, long elapsedMillis, OtherRouters others, long expectedMillis) {
        policy.timeline().begin(0, 0);
        assertThat(policy.retryAfterMillis(others, duration(4_000), elapsedMillis))
                .isEqualTo(expectedMillis);
    }

    /** Guards against a repeat that is rejected again by another stopping router whose address the caller caches. */
    @Test
    void sendsRejectedCallersBackOnceTheyHaveForgottenTheRoutersThatRejectThemToo() {
        policy.timeline().begin(0, 0);
        long elapsedMillis = 2_500;
        long leftMillis = 7_600 - elapsedMillis;
        assertThat(policy.retryAfterMillis(ready(leftMillis), duration(5_200), elapsedMillis))
                .isEqualTo(3_200 - elapsedMillis);
        assertThat(policy.retryAfterMillis(ready(leftMillis, leftMillis + 400), duration(5_200), elapsedMillis))
                .isEqualTo(3_200 - elapsedMillis + 400);
    }

    /** Guards against a wave of returning callers at the first router that is back. */
    @Test
    void spreadsTheReturnOfCallersOverTimeInTheOrderInWhichTheyWereRejected() {
        policy.timeline().begin(0, 0);
        long first = 2_500 + policy.retryAfterMillis(stopping(5_100L), duration(5_200), 2_500);
        long later = 2_900 + policy.retryAfterMillis(stopping(4_700L), duration(5_200), 2_900);
        assertThat(later - first).isEqualTo(200);
    }

    /** Callers cache the router's address, and find nobody there once it has ended. */
    @Test
    void doesNotEndWhileCallersMaySendRequestsThoughNoneIsOpen() {
        policy.timeline().begin(0, 0);
        long forgottenMillis = new AddressLifetime(1).longestMillis();
        assertThat(policy.ends(0, false, forgottenMillis - 1)).isFalse();
        assertThat(policy.ends(0, false, forgottenMillis)).isTrue();
    }

    /** Guards against a router that ends while callers still cache its address, as nobody was told during its stall. */
    @Test
    void closesIdleConnectionsByTheTimeAtWhichTheOthersWereTold() {
        policy.timeline().begin(0, 1_000);
        assertThat(policy.timeline().leftMillis(1_000)).isEqualTo(6_600);
        assertThat(policy.closesIdle(1_000 + 3_199)).isFalse();
        assertThat(policy.closesIdle(1_000 + 3_200)).isTrue();
    }

    /** Guards against idle connections that are closed only when no time is left for their last requests. */
    @Test
    void closesIdleConnectionsInHalfOfTheTimeThatIsLeftAfterALongStall() {
        policy.timeline().begin(0, 4_000);
        assertThat(policy.closesIdle(4_000 + 1_799)).isFalse();
        assertThat(policy.closesIdle(4_000 + 1_800)).isTrue();
    }

    /** Guards against callers of a data centre whose routers have all ended, and who find nobody to ask. */
    @Test
    void doesNotEndAsTheLastOneOfItsDataCentreWhileItHasTime() {
        policy.timeline().begin(0, 0);
        assertThat(policy.ends(0, true, 7_599)).isFalse();
        assertThat(policy.ends(0, true, 7_600)).isTrue();
    }

    @Test
    void doesNotEndWhileARequestIsOpenThatTheTimeoutAllows() {
        policy.timeline().begin(0, 0);
        assertThat(policy.ends(1, false, 7_599)).isFalse();
        assertThat(policy.ends(1, false, 7_600)).isTrue();
    }

    /** The others would send callers to it for as long as its timeout would have allowed. */
    @Test
    void announcesNoTimeOnceItHasEnded() {
        policy.timeline().begin(0, 0);
        assertThat(policy.timeline().takesRequestsMillis(3_200)).isEqualTo(4_400);
        policy.timeline().end();
        assertThat(policy.timeline().takesRequestsMillis(3_200)).isZero();
    }
}
