package org.apricotstack.core.fleet;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against requests and tickets that a router takes on although it can no longer complete them. */
class StoppingGateTest {

    private final SeededFleet fleet = new SeededFleet(1);
    private final FleetNode node = fleet.node(new HostId("r0"));

    @Test
    void refusesARequestAsNotRun() {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        node.stop();
        node.entry().submit(SeededFleet.request("request", null)).answer().subscribe(signal -> {}, failure::set);
        fleet.time().advanceTimeBy(Duration.ofMillis(FleetConfigurations.LIMIT_MILLIS));
        Refusal refusal = ((RefusedException) failure.get()).refusal();
        assertThat(refusal.reason()).isEqualTo(RefusalReason.STOPPING);
        assertThat(fleet.upstreams().runs("request")).isZero();
        assertThat(node.askedMillis()).isEqualTo(FleetConfigurations.LIMIT_MILLIS);
    }

    @Test
    void issuesNoTicket() {
        node.stop();
        assertThatThrownBy(() -> node.entry().issueTicket(FleetConfigurations.KEY_DIGEST))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        error -> assertThat(error.refusal().reason()).isEqualTo(RefusalReason.STOPPING));
    }
}
