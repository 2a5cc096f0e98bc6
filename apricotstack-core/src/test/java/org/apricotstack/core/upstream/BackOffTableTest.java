package org.apricotstack.core.upstream;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BackOffTableTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final UpstreamId NEXT_INCARNATION = new UpstreamId("upstream", 2);

    private final BackOffTable table = new BackOffTable();

    @Test
    void endsWhenTheRequestedTimeHasPassed() {
        assertThat(table.backOffRequested(UPSTREAM, 3_000, 1_000)).isTrue();
        assertThat(table.blockedMillis(UPSTREAM, 1_000)).isEqualTo(3_000);
        assertThat(table.blockedMillis(UPSTREAM, 3_999)).isEqualTo(1);
        assertThat(table.blockedMillis(UPSTREAM, 4_000)).isZero();
    }

    @Test
    void keepsTheOverlappingBackOffThatEndsLast() {
        table.backOffRequested(UPSTREAM, 3_000, 1_000);
        assertThat(table.backOffRequested(UPSTREAM, 500, 1_200)).isFalse();
        assertThat(table.blockedMillis(UPSTREAM, 1_200)).isEqualTo(2_800);
        assertThat(table.backOffRequested(UPSTREAM, 5_000, 1_300)).isFalse();
        assertThat(table.blockedMillis(UPSTREAM, 1_300)).isEqualTo(5_000);
    }

    @Test
    void startsANewBackOffAfterTheLastOneExpired() {
        table.backOffRequested(UPSTREAM, 100, 1_000);
        assertThat(table.backOffRequested(UPSTREAM, 100, 1_100)).isTrue();
        assertThat(table.expire(1_150)).isEmpty();
        assertThat(table.expire(1_200)).containsEntry(UPSTREAM, new BackOff(1_100, 1_200));
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void appliesToOneIncarnationOnly() {
        table.backOffRequested(UPSTREAM, 3_000, 1_000);
        assertThat(table.blockedMillis(NEXT_INCARNATION, 1_000)).isZero();
    }
}
