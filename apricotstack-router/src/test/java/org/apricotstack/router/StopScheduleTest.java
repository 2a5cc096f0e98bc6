package org.apricotstack.router;

import java.time.Duration;
import java.util.stream.LongStream;

import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.id.HostId;
import org.apricotstack.router.SpreadNode.Arrival;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a stopping router refuses or cuts although their callers use addresses only for as long
 * as they were told. Callers learn of a router from any other, keep its address from the time at which they receive it,
 * and need time from the choice of an address to the arrival of the request.
 */
class StopScheduleTest {

    private static final int ROUTERS = 4;
    private static final int BLOCK = 10;
    private static final int BLOCKS = 5;
    private static final Duration START = Duration.ofSeconds(5);
    private static final Duration KEEP = Duration.ofMillis(FleetLimits.DEFAULT.entryKeepMillis());
    private static final Duration SHORT_RUN = Duration.ofMillis(50);
    private static final HostId STOPPING = new HostId("r0");
    private static final HostId OTHER = new HostId("r1");

    /** Returns the indices of the blocks of seeds. */
    static LongStream blocks() {
        return LongStream.range(0, BLOCKS);
    }

    @Test
    void takesARequestOfACallerThatLearntTheAddressFromARouterThatHadNotHeardOfTheStop() {
        SpreadFleet fleet = new SpreadFleet(1, ROUTERS, false);
        fleet.advance(START);
        fleet.node(STOPPING).drain(() -> {});
        assertThat(fleet.node(OTHER).entries("caller")).contains(STOPPING);
        Duration answerDelay = Duration.ofMillis(5);
        fleet.time().advanceTimeBy(answerDelay.plus(KEEP.dividedBy(2)));
        assertThat(fleet.node(STOPPING).arrive("earlier", SHORT_RUN)).isEqualTo(Arrival.TAKEN);
        fleet.time().advanceTimeBy(KEEP.dividedBy(2).minusMillis(1));
        assertThat(fleet.node(STOPPING).arrive("last", SHORT_RUN)).isEqualTo(Arrival.TAKEN);
    }

    @Test
    void takesACallWhoseTicketWasFetchedJustBeforeTheAddressExpired() {
        SpreadFleet fleet = new SpreadFleet(1, ROUTERS, false);
        fleet.advance(START);
        fleet.node(STOPPING).drain(() -> {});
        fleet.time().advanceTimeBy(KEEP.minusMillis(1));
        assertThat(fleet.node(STOPPING).arrive("ticket", Duration.ZERO)).isEqualTo(Arrival.TAKEN);
        fleet.time().advanceTimeBy(Duration.ofMillis(363));
        assertThat(fleet.node(STOPPING).arrive("call", SHORT_RUN)).isEqualTo(Arrival.TAKEN);
    }

    @ParameterizedTest
    @MethodSource("blocks")
    void refusesAndCutsNothingWhileRoutersStopInSeries(long block) {
        for (long seed = block * BLOCK; seed < (block + 1) * BLOCK; seed++) {
            StopSchedule schedule = new StopSchedule(seed, ROUTERS);
            schedule.run();
            assertThat(schedule.taken()).as("taken, seed %d", seed).isPositive();
            assertThat(schedule.takenWhileLeaving())
                    .as("taken while leaving, seed %d", seed)
                    .isPositive();
            assertThat(schedule.refused()).as("refused, seed %d", seed).isEmpty();
            assertThat(schedule.cut()).as("cut, seed %d", seed).isEmpty();
            assertThat(schedule.runningStops()).as("stops, seed %d", seed).isEmpty();
        }
    }
}
