package org.apricotstack.core.fleet;

import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that no request hangs past its time limit, no answer is incomplete or mixed up, no call that must not be
 * repeated runs twice, no call that ran is refused as not run, and no engine holds orphaned memory.
 *
 * <p>At random moments that a seed determines, routers are killed and restarted without state, paused and resumed late,
 * and silently partitioned from each other; requests are delivered twice; upstreams refuse, fail, send incomplete or
 * mixed-up answers and go silent; callers repeat requests with the same ticket at other routers.
 *
 * <p>The test fails if a decision relies on another process being alive or on a message having arrived.
 */
class FleetScheduleTest {

    private static final int BLOCK = 500;
    private static final int BLOCKS = 20;
    private static final int STEPS = 60;
    private static final double FAULT_SHARE = 0.3;

    /** Blocks of seeds; 10,000 schedules in total. */
    static LongStream blocks() {
        return LongStream.range(0, BLOCKS);
    }

    @ParameterizedTest
    @MethodSource("blocks")
    void keepsItsGuaranteesUnderCombinedFaults(long block) {
        for (long seed = block * BLOCK; seed < (block + 1) * BLOCK; seed++) {
            SeededFleet fleet = new SeededFleet(seed);
            fleet.run(STEPS, FAULT_SHARE);
            for (FleetCall call : fleet.calls()) {
                check(seed, fleet, call);
            }
            assertThat(fleet.upstreams().held())
                    .as("memory held at the end, seed %d", seed)
                    .isEmpty();
        }
    }

    @ParameterizedTest
    @MethodSource("blocks")
    void endsEachRequestWithinItsTimeLimit(long block) {
        for (long seed = block * BLOCK; seed < block * BLOCK + BLOCK / 5; seed++) {
            SeededFleet fleet = new SeededFleet(seed);
            fleet.disablePauses();
            fleet.run(STEPS, FAULT_SHARE);
            for (FleetCall call : fleet.calls()) {
                assertThat(call.overtimeMillis())
                        .as("time over the limit of %s, seed %d", call.body(), seed)
                        .isLessThanOrEqualTo(0);
            }
        }
    }

    /** Checks one call of a schedule. */
    private static void check(long seed, SeededFleet fleet, FleetCall call) {
        int runs = fleet.upstreams().runs(call.body());
        assertThat(call.isOpen()).as("%s hangs, seed %d", call.body(), seed).isFalse();
        if (call.isTicketed()) {
            assertThat(runs).as("runs of %s, seed %d", call.body(), seed).isLessThanOrEqualTo(1);
        }
        if (call.wasReportedNotRun()) {
            assertThat(runs)
                    .as("%s was refused with %s, seed %d", call.body(), call.refusal(), seed)
                    .isZero();
        }
        if (call.isCompleted()) {
            assertThat(call.answer())
                    .as("answer of %s, seed %d", call.body(), seed)
                    .isEqualTo(call.expectedAnswer());
        }
    }
}
