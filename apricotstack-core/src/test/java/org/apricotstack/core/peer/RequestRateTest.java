package org.apricotstack.core.peer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RequestRateTest {

    private final RequestRate rate = new RequestRate(0);

    private double span(int requests, long untilMillis) {
        for (int i = 0; i < requests; i++) {
            rate.count();
        }
        return rate.endInterval(untilMillis);
    }

    @Test
    void risesAtOnceAndFallsSlowly() {
        assertThat(span(10, 1_000)).isEqualTo(10);
        assertThat(span(40, 2_000)).isEqualTo(40);
        assertThat(span(0, 12_000)).isCloseTo(40 / Math.E, within(0.01));
        assertThat(rate.perSecond()).isCloseTo(40 / Math.E, within(0.01));
    }

    @Test
    void keepsTheRateWhereNoTimePassed() {
        assertThat(span(10, 1_000)).isEqualTo(10);
        assertThat(span(5, 1_000)).isEqualTo(10);
        assertThat(span(0, 2_000)).isCloseTo(10 / Math.exp(0.1), within(0.01));
    }
}
