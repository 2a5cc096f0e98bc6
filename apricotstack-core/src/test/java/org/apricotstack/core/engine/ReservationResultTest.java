package org.apricotstack.core.engine;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReservationResultTest {

    /** An engine that leaves rejects reservations with the status of missing memory, and states enough free memory. */
    @Test
    void tellsAnEngineThatRefusesHelpFromOneThatLacksMemory() {
        assertThat(ReservationResult.noMemory(40_000).refusesHelp(40_000)).isTrue();
        assertThat(ReservationResult.noMemory(39_999).refusesHelp(40_000)).isFalse();
        assertThat(ReservationResult.noMemory(ReservationResult.UNKNOWN_FREE).refusesHelp(40_000))
                .isFalse();
        assertThat(ReservationResult.REJECTED.refusesHelp(40_000)).isTrue();
        assertThat(ReservationResult.UNANSWERED.refusesHelp(40_000)).isFalse();
        assertThat(ReservationResult.RESERVED.refusesHelp(40_000)).isFalse();
    }
}
