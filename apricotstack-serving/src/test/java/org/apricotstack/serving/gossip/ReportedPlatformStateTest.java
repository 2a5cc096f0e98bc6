package org.apricotstack.serving.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportedPlatformStateTest {

    private final ReportedPlatformState reported = new ReportedPlatformState();

    /**
     * Guards against a removal that is reported up to 0.9 s later than an addition. A removal increases the revision
     * by one and decreases the number of upstreams by one, and the sum of both was compared.
     */
    @Test
    void detectsChangesThatCancelOutInASum() {
        assertThat(reported.update(4, 10, 3)).isTrue();
        assertThat(reported.update(4, 10, 3)).isFalse();
        assertThat(reported.update(4, 11, 2)).isTrue();
        assertThat(reported.update(5, 10, 2)).isTrue();
        assertThat(reported.update(5, 10, 1)).isTrue();
        assertThat(reported.update(5, 10, 1)).isFalse();
    }
}
