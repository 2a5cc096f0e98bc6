package org.apricotstack.core.link;

import org.apricotstack.core.id.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReuseSuspensionTableTest {

    private static final Address REPEATING = new Address("127.0.0.1", 1);
    private static final Address SOUND = new Address("127.0.0.1", 2);

    private final ReuseSuspensionTable table = new ReuseSuspensionTable();

    private void unmatched(int times, long intervalMillis) {
        for (int i = 0; i < times; i++) {
            table.unmatched(REPEATING, i * intervalMillis);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0, true", "2, 100, true", "3, 100, false", "3, 4999, false", "3, 5000, true", "9, 5000, true"})
    void suspendsReuseAfterSeveralUnmatchedResponsesInAShortTime(int times, long intervalMillis, boolean reuse) {
        unmatched(times, intervalMillis);
        assertThat(table.mayReuse(REPEATING, (times - 1) * intervalMillis)).isEqualTo(reuse);
        assertThat(table.mayReuse(SOUND, 0)).isTrue();
    }

    @Test
    void suspendsReuseAtOnceAfterALostResponse() {
        table.responseLost(REPEATING, 0);
        assertThat(table.mayReuse(REPEATING, ReuseSuspensionTable.SUSPENSION_MILLIS - 1))
                .isFalse();
        assertThat(table.suspendedCount(0)).isEqualTo(1);
    }

    @Test
    void triesReuseAgainAfterTheSuspension() {
        table.responseLost(REPEATING, 0);
        long end = ReuseSuspensionTable.SUSPENSION_MILLIS;
        assertThat(table.mayReuse(REPEATING, end)).isTrue();
        table.unmatched(REPEATING, end);
        assertThat(table.mayReuse(REPEATING, end)).isTrue();
    }

    @Test
    void keepsWhatStillCountsAndRemovesTheRest() {
        table.unmatched(REPEATING, 0);
        table.unmatched(REPEATING, 1);
        table.expire(2);
        table.unmatched(REPEATING, 3);
        assertThat(table.mayReuse(REPEATING, 4)).isFalse();
        table.expire(4);
        assertThat(table.suspendedCount(4)).isEqualTo(1);
        table.expire(3 + ReuseSuspensionTable.SUSPENSION_MILLIS);
        assertThat(table.suspendedCount(5)).isZero();
    }
}
