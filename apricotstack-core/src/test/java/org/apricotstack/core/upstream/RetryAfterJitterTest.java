package org.apricotstack.core.upstream;

import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterJitterTest {

    private static final int CALLERS = 1_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 300, 3_000, 3_600_000})
    void spreadsCallersThatWereRefusedUntilTheSameTime(long blockedMillis) {
        long spread = RetryAfterJitter.MIN_MILLIS + blockedMillis / 4;
        long[] returns = LongStream.range(0, CALLERS)
                .map(caller -> RetryAfterJitter.millis(
                        blockedMillis, Long.toString(caller, 36).hashCode()))
                .toArray();
        assertThat(LongStream.of(returns))
                .allMatch(millis -> millis >= blockedMillis && millis <= blockedMillis + spread);
        for (int quarter = 0; quarter < 4; quarter++) {
            long from = blockedMillis + spread * quarter / 4;
            long until = blockedMillis + spread * (quarter + 1) / 4;
            assertThat(LongStream.of(returns).filter(millis -> millis >= from && millis < until))
                    .as("callers that return in quarter %d", quarter)
                    .hasSizeBetween(CALLERS / 8, CALLERS * 3 / 8);
        }
    }
}
