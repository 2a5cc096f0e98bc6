package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.time.StallDetector;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What a stopping router takes, on a clock of its own. */
class StopGateTest {

    private static final EngineProfile ENGINE = new EngineProfile(10, 100_000, 50, 1, 0.01, 0.004, 100, 0, 2_048, 800);
    private static final long PROMPT_TOKENS = 5_000;
    private static final long ANSWER_TOKENS = 1_500;
    private static final long PREFILL_MILLIS = 100;
    private static final long STOP_MILLIS = 8_000;
    private static final long STEP_MILLIS = 10;

    /** From this time after the signal on, callers know of the stop. */
    private static final long KNOWN_MILLIS = 2_901;

    private static final long TARGET_MILLIS = 300;

    /** Longer than the time that is left. */
    private static final long DEADLINE_MILLIS = 10_000;

    /** Shorter than a request of an engine takes. */
    private static final long SHORT_DEADLINE_MILLIS = 600;

    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final StopPolicy policy = new StopPolicy(STOP_MILLIS, new AddressLifetime(1));
    private boolean otherReady = true;
    private final StopGate gate =
            new StopGate(policy, () -> new OtherRouters(otherReady, List.of()), loadTable, new StallDetector(0));
    private final long durationMillis = policy.timeline().durationMillis();

    private static RequestFacts facts(RequestKind kind, long deadlineMillis, long nowMillis) {
        EngineProfile engine = kind == RequestKind.STREAMING ? ENGINE : null;
        return StopRequests.facts(kind, engine, TARGET_MILLIS, PROMPT_TOKENS, ANSWER_TOKENS, deadlineMillis, nowMillis);
    }

    private UpstreamChoice choice() {
        UpstreamChoice choice = StopRequests.choice(1, PREFILL_MILLIS);
        loadTable.load(choice.upstream().id()).profile(ENGINE);
        return choice;
    }

    /** Returns how long a request takes at the pace that is expected of its upstream. */
    private static long expectedMillis(RequestKind kind) {
        double millisPerToken = 1 + 0.01 + 5 * 0.004;
        return kind == RequestKind.STREAMING
                ? PREFILL_MILLIS + Math.round(ANSWER_TOKENS * millisPerToken)
                : TARGET_MILLIS;
    }

    private boolean takes(RequestFacts facts, long nowMillis) {
        return gate.takes(facts, gate.duration(facts, null, nowMillis), nowMillis)
                && gate.takes(facts, gate.duration(facts, choice(), nowMillis), nowMillis);
    }

    /** Guards against a request that is cut by the end of its router, as others fill its upstream or it is silent. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void takesLateRequestsOnlyIfTheirDeadlineComesBeforeTheEnd(RequestKind kind) {
        policy.timeline().begin(0, 0);
        for (long deadlineMillis : new long[] {SHORT_DEADLINE_MILLIS, 2_500, 4_000, DEADLINE_MILLIS}) {
            for (long now = KNOWN_MILLIS; now < durationMillis; now += STEP_MILLIS) {
                assertThat(takes(facts(kind, deadlineMillis, now), now))
                        .as("taken at %d ms with a deadline of %d ms", now, deadlineMillis)
                        .isEqualTo(now + deadlineMillis <= durationMillis);
            }
        }
    }

    /** A caller would have nowhere to go. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void countsOnlyTheEstimateWhileNoOtherRouterIsReady(RequestKind kind) {
        otherReady = false;
        policy.timeline().begin(0, 0);
        long now = durationMillis - 2 * TARGET_MILLIS - 2 * expectedMillis(kind);
        assertThat(takes(facts(kind, DEADLINE_MILLIS, now), now)).isTrue();
        otherReady = true;
        assertThat(takes(facts(kind, DEADLINE_MILLIS, now), now)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"SAFE, 600, true", "SAFE, 599, false", "UNSAFE, 600, true", "UNSAFE, 599, false"})
    void takesARequestWhoseDeadlineIsBeforeTheEnd(RequestKind kind, long leftMillis, boolean taken) {
        policy.timeline().begin(0, 0);
        long now = durationMillis - leftMillis;
        assertThat(takes(facts(kind, SHORT_DEADLINE_MILLIS, now), now)).isEqualTo(taken);
    }

    /** Guards against a request that is rejected by the deadline only once its upstream is chosen. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void countsTheDeadlineBeforeAnUpstreamIsChosen(RequestKind kind) {
        policy.timeline().begin(0, 0);
        RequestFacts facts = facts(kind, DEADLINE_MILLIS, KNOWN_MILLIS);
        RequestDuration duration = gate.duration(facts, null, KNOWN_MILLIS);
        assertThat(gate.neededMillis(facts, duration)).isEqualTo(DEADLINE_MILLIS);
        assertThat(duration.longestMillis())
                .isEqualTo(kind == RequestKind.STREAMING ? ANSWER_TOKENS : 4 * TARGET_MILLIS);
    }

    /** Guards against callers that are sent away though they could not know of the stop. */
    @ParameterizedTest
    @CsvSource({"0, false", "2900, false", "2901, true", "3000, true"})
    void countsTheDeadlineOnceCallersKnowOfTheStop(long arrivedMillis, boolean expected) {
        policy.timeline().begin(0, 0);
        RequestFacts facts = facts(RequestKind.STREAMING, DEADLINE_MILLIS, arrivedMillis);
        long later = arrivedMillis + STEP_MILLIS;
        RequestDuration duration = gate.duration(facts, choice(), later);
        long estimatedMillis = gate.restMillis(facts, 0, choice(), 0, later);
        assertThat(gate.neededMillis(facts, duration))
                .isEqualTo(expected ? DEADLINE_MILLIS - STEP_MILLIS : estimatedMillis);
        assertThat(gate.takes(facts, duration, later)).isEqualTo(!expected);
        assertThat(gate.silenceMillis(facts)).isEqualTo(expected ? 2_000 : 0);
    }
}
