package org.apricotstack.core.peer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformFreshnessTest {

    private final PlatformFreshness freshness = new PlatformFreshness();

    @Test
    void hasNoAgeBeforeTheFirstResponse() {
        assertThat(freshness.isKnown()).isFalse();
        assertThat(freshness.ageMillis(5)).isEqualTo(-1);
    }

    @Test
    void agesFromTheLatestTimeWhateverTheOrderOfReports() {
        freshness.verified(700);
        freshness.verified(300);
        assertThat(freshness.ageMillis(1_000)).isEqualTo(300);
        assertThat(freshness.ageMillis(600)).isZero();
    }
}
