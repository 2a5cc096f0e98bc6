package org.apricotstack.serving.run;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class OwnResponseLimitTest {

    /** Guards against a wait that a response without an id makes longer than the silence that was allowed before. */
    @ParameterizedTest
    @CsvSource({"20, 5, 900, 100", "200, 50, 900, 750", "200, 850, 50, 50", "500, 10, 300, 300", "1, 900, 0, 1"})
    void awaitsTheOwnResponseForItsUsualTimeButNotLongerThanBefore(
            long expectedMillis, long elapsedMillis, long leftMillis, long limitMillis) {
        assertThat(TimeoutPolicy.ownResponseLimitMillis(expectedMillis, elapsedMillis, leftMillis))
                .isEqualTo(limitMillis);
    }
}
