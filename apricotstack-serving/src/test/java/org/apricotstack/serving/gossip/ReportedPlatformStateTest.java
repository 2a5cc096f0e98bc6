package org.apricotstack.serving.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportedPlatformStateTest {

    private final ReportedPlatformState told = new ReportedPlatformState();

    /**
     * Symptom: that an upstream is gone is told up to 0.9 s later than that one came. Sequence: it is removed, so the
     * revision is one more and the number of upstreams one less. Cause: the sum of both was compared.
     */
    @Test
    void noticesEachChangeAlsoThoseThatCancelOut() {
        assertThat(told.update(4, 10, 3)).isTrue();
        assertThat(told.update(4, 10, 3)).isFalse();
        assertThat(told.update(4, 11, 2)).isTrue();
        assertThat(told.update(5, 10, 2)).isTrue();
        assertThat(told.update(5, 10, 1)).isTrue();
        assertThat(told.update(5, 10, 1)).isFalse();
    }
}
