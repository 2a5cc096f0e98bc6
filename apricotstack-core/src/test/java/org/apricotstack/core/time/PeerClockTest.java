package org.apricotstack.core.time;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PeerClockTest {

    private static final ProcessId PEER = new ProcessId(new HostId("peer"), 7);
    private static final long OFFSET = 5_000_000L;

    /**
     * Guards against a process that resumes after a pause and still sends a request that its caller has given up.
     * Readings of the peer's clock arrive after some transit time, and a deadline that is translated with them must
     * never be later than the true deadline on the peer's clock.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "100, 0", "0, 300", "700, 20", "1000000, 1"})
    void translatesDeadlinesThatAreNeverLate(long firstTransit, long secondTransit) {
        PeerClock clock = new PeerClock();
        clock.observe(PEER, 1_000 + OFFSET, 1_000 + firstTransit);
        clock.observe(PEER, 9_000 + OFFSET, 9_000 + secondTransit);
        Deadline translated = clock.translate(PEER, new Deadline(50_000));
        assertThat(translated.atNanos()).isLessThanOrEqualTo(50_000 + OFFSET);
        assertThat(50_000 + OFFSET - translated.atNanos()).isEqualTo(Math.min(firstTransit, secondTransit));
    }

    @Test
    void translatesNothingForAnotherProcessOfTheSameHost() {
        PeerClock clock = new PeerClock();
        clock.observe(PEER, 1, 1);
        assertThat(clock.translate(new ProcessId(PEER.host(), 8), new Deadline(5)))
                .isNull();
    }

    @Test
    void startsOverWithALaterProcess() {
        PeerClock clock = new PeerClock();
        clock.observe(PEER, 1_000_000, 10);
        ProcessId later = new ProcessId(PEER.host(), 8);
        clock.observe(later, 20, 10);
        assertThat(clock.translate(later, new Deadline(100)).atNanos()).isEqualTo(110);
    }
}
