package org.apricotstack.core.time;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StallDetectorTest {

    private static final long START_MILLIS = 5_000;

    private final StallDetector stalls = new StallDetector(START_MILLIS);

    private void runUntil(long millis) {
        for (long now = START_MILLIS; now <= millis; now += StallDetector.INTERVAL_MILLIS) {
            stalls.running(now);
        }
    }

    @ParameterizedTest
    @CsvSource({"100, 0", "200, 0", "201, 201", "3000, 3000"})
    void returnsTheLengthOfAStall(long gapMillis, long expectedMillis) {
        assertThat(stalls.running(START_MILLIS + gapMillis)).isEqualTo(expectedMillis);
        assertThat(stalls.running(START_MILLIS + gapMillis + 100)).isZero();
    }

    @Test
    void takesWhatIsHandledWhileTheProcessRunsForNew() {
        runUntil(6_000);
        assertThat(stalls.earliestMillis(6_050)).isEqualTo(6_050);
        assertThat(stalls.earliestMillis(6_200)).isEqualTo(6_200);
    }

    /** Guards against a signal whose handler runs before the first task of the event loop. */
    @Test
    void takesWhatIsHandledAtTheEndOfAStallForAsOldAsTheStall() {
        runUntil(6_000);
        assertThat(stalls.earliestMillis(9_000)).isEqualTo(6_000);
    }

    /** Guards against a signal whose handler runs after the first task of the event loop. */
    @Test
    void takesWhatIsHandledRightAfterAStallForAsOldAsTheStall() {
        runUntil(6_000);
        stalls.running(9_000);
        assertThat(stalls.earliestMillis(8_999)).isEqualTo(6_000);
        assertThat(stalls.earliestMillis(9_000)).isEqualTo(6_000);
        assertThat(stalls.earliestMillis(9_099)).isEqualTo(6_000);
        assertThat(stalls.earliestMillis(9_100)).isEqualTo(9_100);
    }

    @Test
    void tellsWhetherAStallHasEndedSinceAPointInTime() {
        runUntil(6_000);
        assertThat(stalls.stalledSince(START_MILLIS, 6_050)).isFalse();
        assertThat(stalls.stalledSince(START_MILLIS, 9_000)).isTrue();
        stalls.running(9_000);
        assertThat(stalls.stalledSince(8_999, 9_001)).isTrue();
        assertThat(stalls.stalledSince(9_000, 9_001)).isFalse();
    }
}
