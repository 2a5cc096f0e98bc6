package org.apricotstack.core.stop;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AddressLifetimeTest {

    @ParameterizedTest
    @CsvSource({"1000, 5, 1", "8000, 5, 1", "15999, 5, 1", "16000, 5, 2", "60000, 5, 2", "60000, 1, 1"})
    void leavesAStoppingRouterTimeForTheLastRequests(long stopTimeoutMillis, int maxSeconds, int expected) {
        assertThat(AddressLifetime.of(stopTimeoutMillis, maxSeconds).seconds()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"8000", "16000", "60000"})
    void closesNoIdleConnectionWhileCallersMayStillUseIt(long stopTimeoutMillis) {
        AddressLifetime lifetime = AddressLifetime.of(stopTimeoutMillis, 5);
        StopPolicy policy = new StopPolicy(stopTimeoutMillis, lifetime);
        policy.timeline().begin(0, 0);
        assertThat(policy.closesIdle(3_000L * lifetime.seconds())).isFalse();
        assertThat(policy.closesIdle(lifetime.longestMillis())).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"1000", "2000", "5000"})
    void closesIdleConnectionsBeforeTheEndHoweverShortTheTimeoutIs(long stopTimeoutMillis) {
        StopPolicy policy = new StopPolicy(stopTimeoutMillis, AddressLifetime.of(stopTimeoutMillis, 5));
        policy.timeline().begin(0, 0);
        long closesMillis = 0;
        while (!policy.closesIdle(closesMillis) && policy.timeline().leftMillis(closesMillis) > 0) {
            closesMillis++;
        }
        assertThat(policy.timeline().leftMillis(closesMillis)).isPositive();
    }
}
