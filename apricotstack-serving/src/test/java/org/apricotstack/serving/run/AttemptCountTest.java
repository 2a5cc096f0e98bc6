package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.RefusalCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptCountTest {

    private static final long REMAINING_MILLIS = 10_000;
    private static final int MAX_ATTEMPTS = 2;

    private final AttemptCount attempts = new AttemptCount(new Route(
            "reviews",
            "a.example",
            "/",
            RequestKind.STREAMING,
            15_000,
            3_000,
            1,
            List.of(),
            MAX_ATTEMPTS,
            false,
            true,
            1_000));

    private RefusalCause fail(FailureKind kind) {
        return fail(kind, false);
    }

    private RefusalCause fail(FailureKind kind, boolean draining) {
        boolean isUncounted = attempts.isUncounted(kind, draining);
        attempts.send();
        attempts.failed(kind, isUncounted);
        return attempts.retryRefusal(kind, isUncounted, REMAINING_MILLIS);
    }

    /**
     * During an overload, the longest prompts were refused with ten seconds left while 18 of 22 engines were running.
     * Four engines had crashed at once and were tried again at the same moment, and four refused connections used up
     * the attempts of a request that had reached no engine.
     */
    @Test
    void retriesAfterAsManyRefusedConnectionsAsEnginesCrashTogether() {
        for (int i = 0; i < 6; i++) {
            assertThat(fail(FailureKind.NO_CONNECTION)).isNull();
        }
        assertThat(attempts.sent()).isZero();
        assertThat(attempts.mayHaveRun()).isFalse();
    }

    @Test
    void givesUpEventuallyIfAllConnectionsAreRefused() {
        RefusalCause cause = null;
        for (int i = 0; i < 100 && cause == null; i++) {
            cause = fail(FailureKind.NO_CONNECTION);
        }
        assertThat(cause).isEqualTo(RefusalCause.ATTEMPTS_USED);
    }

    @ParameterizedTest
    @EnumSource(names = {"FULL", "OTHER_INSTANCE", "HELPER_GONE", "DRAINING", "WITHHELD"})
    void countsNoAttemptThatADrainingUpstreamRejects(FailureKind kind) {
        for (int i = 0; i < 6; i++) {
            assertThat(fail(kind, true)).isNull();
        }
        assertThat(attempts.sent()).isZero();
        assertThat(attempts.mayHaveRun()).isEqualTo(kind.mayHaveRun());
    }

    @ParameterizedTest
    @EnumSource(names = {"RESET", "CUT"})
    void exemptsOnlyTheFirstConnectionThatADrainingUpstreamDrops(FailureKind kind) {
        assertThat(fail(kind, true)).isNull();
        assertThat(attempts.sent()).isZero();
        assertThat(fail(kind, true)).isNull();
        assertThat(fail(kind, true)).isEqualTo(RefusalCause.ATTEMPTS_USED);
    }

    @Test
    void countsAttemptsThatADrainingUpstreamMayStillRun() {
        assertThat(fail(FailureKind.SILENT, true)).isNull();
        assertThat(fail(FailureKind.SILENT, true)).isEqualTo(RefusalCause.ATTEMPTS_USED);
    }

    @Test
    void countsAttemptsThatReachedAnUpstream() {
        assertThat(fail(FailureKind.NO_CONNECTION)).isNull();
        assertThat(fail(FailureKind.RESET)).isNull();
        assertThat(fail(FailureKind.RESET)).isEqualTo(RefusalCause.ATTEMPTS_USED);
    }
}
