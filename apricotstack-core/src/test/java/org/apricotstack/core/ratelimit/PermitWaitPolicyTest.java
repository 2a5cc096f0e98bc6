package org.apricotstack.core.ratelimit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PermitWaitPolicyTest {

    private static final long TARGET_MILLIS = 400;

    @ParameterizedTest
    @CsvSource({
        "99, 0, 0, 1, true",
        "100, 0, 0, 1, false",
        "50, 49, 0, 1, true",
        "50, 50, 0, 1, false",
        "10, 0, 1, 1, false",
        "10, 0, 1, 2, true",
        "10, 0, 0, 0, false"
    })
    void allowsOneWaitingRequestPerClosedUpstreamForAQuarterOfItsTarget(
            long blockedMillis, long passedMillis, int waiting, int closed, boolean allowed) {
        assertThat(PermitWaitPolicy.isAllowed(blockedMillis, passedMillis, TARGET_MILLIS, waiting, closed))
                .isEqualTo(allowed);
    }
}
