package org.apricotstack.core.upstream;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamJudgeTest {

    private static final UpstreamId ID = new UpstreamId("upstream");

    private final OutlierDetector judge = new OutlierDetector();

    @ParameterizedTest
    @EnumSource(
            value = FailureKind.class,
            names = {"NO_CONNECTION", "SILENT", "OTHER_INSTANCE", "HELPER_GONE"})
    void avoidsAnUpstreamAtOnceIfAllRequestsWouldFail(FailureKind kind) {
        long avoid = judge.failed(ID, kind, 0);
        assertThat(judge.failureProbability(ID, avoid - 1)).isGreaterThan(0.9);
        assertThat(judge.failureProbability(ID, avoid)).isLessThan(0.5);
        assertThat(judge.failed(ID, kind, avoid)).isEqualTo(2 * avoid);
    }

    /**
     * Symptom: all replicas of a plain service were avoided by turns. Sequence: one request in seven fails by itself,
     * whichever replica runs it. Cause: a single error counted like a dead replica.
     */
    @ParameterizedTest
    @EnumSource(
            value = FailureKind.class,
            names = {"ERROR", "CUT", "RESET", "SPOILED", "PASSED_OVER"})
    void avoidsAnUpstreamAfterThreeSingleFailuresInARow(FailureKind kind) {
        assertThat(judge.failed(ID, kind, 0)).isZero();
        assertThat(judge.failed(ID, kind, 0)).isZero();
        judge.succeeded(ID);
        assertThat(judge.failed(ID, kind, 0)).isZero();
        assertThat(judge.failed(ID, kind, 0)).isZero();
        assertThat(judge.failed(ID, kind, 0)).isPositive();
    }

    /**
     * Symptom: requests were refused as their attempts were used up, beside idle engines. Sequence: an engine that was
     * believed to have room rejects a request as full, the next ones follow at once. Cause: a rejection changed
     * nothing.
     */
    @Test
    void avoidsAnUpstreamThatWasFullForAMomentAndHoldsNothingAgainstIt() {
        long avoid = judge.rejectedAsFull(ID, 0);
        assertThat(judge.failureProbability(ID, avoid - 1)).isGreaterThan(0.9);
        assertThat(judge.failureProbability(ID, avoid)).isZero();
        assertThat(judge.rejectedAsFull(ID, avoid)).isEqualTo(avoid);
    }

    @Test
    void seesARateOfFailures() {
        for (int i = 0; i < 40; i++) {
            judge.failed(ID, FailureKind.ERROR, 0);
            judge.succeeded(ID);
        }
        assertThat(judge.failureProbability(ID, 0)).isBetween(0.3, 0.7);
        for (int i = 0; i < 40; i++) {
            judge.succeeded(ID);
        }
        assertThat(judge.failureProbability(ID, 0)).isLessThan(0.05);
    }

    @Test
    void sendsOneRequestToAnUpstreamWhoseAvoidanceEnded() {
        long avoid = judge.failed(ID, FailureKind.SILENT, 0);
        judge.trialStarted(ID, avoid);
        assertThat(judge.failureProbability(ID, avoid + 1)).isGreaterThan(0.9);
        judge.succeeded(ID);
        assertThat(judge.failureProbability(ID, avoid + 1)).isLessThan(0.5);
    }

    @Test
    void givesNoOrdersForAWhileAfterOneWasLost() {
        assertThat(judge.takesOrders(ID, 0)).isTrue();
        judge.ordersLost(ID, 0);
        assertThat(judge.takesOrders(ID, 10_000)).isFalse();
        assertThat(judge.takesOrders(ID, 20_000)).isTrue();
        assertThat(judge.failureProbability(ID, 0)).isZero();
    }

    @Test
    void believesAPeerForALimitedTime() {
        judge.reportedByPeer(ID, 1_000_000, 0);
        assertThat(judge.failureProbability(ID, 1_000)).isGreaterThan(0.9);
        assertThat(judge.failureProbability(ID, 10_000)).isZero();
    }

    /**
     * Symptom: streams that broke were not continued though all engines were sound. Sequence: all connections of a
     * router
     * are reset at once, several at each engine. Cause: three resets in a row made the router avoid every engine.
     */
    @Test
    void blamesItselfIfUpstreamsFailTogether() {
        for (int i = 0; i < 12; i++) {
            judge.failed(new UpstreamId("upstream-" + i % 4), FailureKind.CUT, i);
        }
        for (int i = 0; i < 4; i++) {
            assertThat(judge.failureProbability(new UpstreamId("upstream-" + i), 20))
                    .isLessThan(0.5);
        }
    }
}
