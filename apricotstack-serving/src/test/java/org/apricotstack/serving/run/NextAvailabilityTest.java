package org.apricotstack.serving.run;

import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that requests wait for permits only, and are refused for the cause that blocks the upstreams. */
class NextAvailabilityTest {

    @ParameterizedTest
    @CsvSource({
        "LIMIT, true, UPSTREAM_LIMITS",
        "COLD, true, UPSTREAMS_COLD",
        "DRAINING, false, UPSTREAMS_DRAINING",
        "BACK_OFF, false, UPSTREAMS_BACK_OFF",
        "EVACUATED, false, UPSTREAMS_EVACUATED"
    })
    void waitsForPermitsOnlyAndNamesTheCauseOfARefusal(
            PassedOverCause cause, boolean needsPermit, RefusalCause refusal) {
        NextAvailability availability = new NextAvailability(100, cause);
        assertThat(availability.needsPermit()).isEqualTo(needsPermit);
        assertThat(availability.refusal()).isEqualTo(refusal);
    }
}
