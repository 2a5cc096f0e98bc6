package org.apricotstack.core.upstream;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class OutlierDetectorTest {

    private static final UpstreamId ID = new UpstreamId("upstream");

    private final OutlierDetector detector = new OutlierDetector();

    @ParameterizedTest
    @EnumSource(
            value = FailureKind.class,
            names = {"NO_CONNECTION", "SILENT", "OTHER_INSTANCE", "HELPER_GONE"})
    void avoidsAnUpstreamAfterOneFailureThatAffectsAllRequests(FailureKind kind) {
        long avoid = detector.failed(ID, kind, 0);
        assertThat(detector.failureProbability(ID, avoid - 1)).isGreaterThan(0.9);
        assertThat(detector.failureProbability(ID, avoid)).isLessThan(0.5);
        assertThat(detector.failed(ID, kind, avoid)).isEqualTo(2 * avoid);
    }

    /**
     * Guards against avoiding all replicas of a plain service in turn: when one request in seven failed at any replica,
     * a single error was counted like a dead replica.
     */
    @ParameterizedTest
    @EnumSource(
            value = FailureKind.class,
            names = {"ERROR", "CUT", "RESET", "SPOILED", "PASSED_OVER"})
    void avoidsAnUpstreamAfterThreeConsecutiveFailuresOfSingleRequests(FailureKind kind) {
        assertThat(detector.failed(ID, kind, 0)).isZero();
        assertThat(detector.failed(ID, kind, 0)).isZero();
        detector.succeeded(ID);
        assertThat(detector.failed(ID, kind, 0)).isZero();
        assertThat(detector.failed(ID, kind, 0)).isZero();
        assertThat(detector.failed(ID, kind, 0)).isPositive();
    }

    /**
     * Guards against requests that use up their attempts although other engines are idle: an engine rejected a request
     * for lack of capacity, and the next requests were sent to it at once because the rejection was not recorded.
     */
    @Test
    void avoidsAFullUpstreamBrieflyWithoutRaisingItsFailureRate() {
        long avoid = detector.rejectedAsFull(ID, 0);
        assertThat(detector.failureProbability(ID, avoid - 1)).isGreaterThan(0.9);
        assertThat(detector.failureProbability(ID, avoid)).isZero();
        assertThat(detector.rejectedAsFull(ID, avoid)).isEqualTo(avoid);
    }

    @Test
    void tracksTheFailureRate() {
        for (int i = 0; i < 40; i++) {
            detector.failed(ID, FailureKind.ERROR, 0);
            detector.succeeded(ID);
        }
        assertThat(detector.failureProbability(ID, 0)).isBetween(0.3, 0.7);
        for (int i = 0; i < 40; i++) {
            detector.succeeded(ID);
        }
        assertThat(detector.failureProbability(ID, 0)).isLessThan(0.05);
    }

    @Test
    void sendsOneTrialRequestAfterTheAvoidanceExpired() {
        long avoid = detector.failed(ID, FailureKind.SILENT, 0);
        detector.trialStarted(ID, avoid);
        assertThat(detector.failureProbability(ID, avoid + 1)).isGreaterThan(0.9);
        detector.succeeded(ID);
        assertThat(detector.failureProbability(ID, avoid + 1)).isLessThan(0.5);
    }

    @Test
    void sendsNoOrdersForAWhileAfterOneWasLost() {
        assertThat(detector.answersReservationCalls(ID, 0)).isTrue();
        detector.reservationCallLost(ID, 0);
        assertThat(detector.answersReservationCalls(ID, 10_000)).isFalse();
        assertThat(detector.answersReservationCalls(ID, 20_000)).isTrue();
        assertThat(detector.failureProbability(ID, 0)).isZero();
    }

    @Test
    void appliesAPeersReportForALimitedTime() {
        detector.reportedByPeer(ID, 1_000_000, 0);
        assertThat(detector.failureProbability(ID, 1_000)).isGreaterThan(0.9);
        assertThat(detector.failureProbability(ID, 10_000)).isZero();
    }

    /**
     * Guards against avoiding all engines when all connections of a router are reset at once: three consecutive resets
     * at each engine made the router avoid every engine, so interrupted streams were not continued.
     */
    @Test
    void doesNotAvoidUpstreamsThatFailSimultaneously() {
        for (int i = 0; i < 12; i++) {
            detector.failed(new UpstreamId("upstream-" + i % 4), FailureKind.CUT, i);
        }
        for (int i = 0; i < 4; i++) {
            assertThat(detector.failureProbability(new UpstreamId("upstream-" + i), 20))
                    .isLessThan(0.5);
        }
    }
}
