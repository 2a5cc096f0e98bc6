package org.apricotstack.core.upstream;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class OutlierDetectorTest {

    private static final UpstreamId ID = new UpstreamId("upstream");
    private static final DataCentreId EAST = new DataCentreId("east");
    private static final DataCentreId WEST = new DataCentreId("west");
    private static final DataCentreId NORTH = new DataCentreId("north");

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
        detector.reportedByPeer(ID, null, 1_000_000, 0);
        assertThat(detector.failureProbability(ID, 1_000)).isGreaterThan(0.9);
        assertThat(detector.failureProbability(ID, 10_000)).isZero();
    }

    /** Guards against avoiding an upstream that fails for the callers of another data centre only. */
    @Test
    void ignoresReportsOfAnotherDataCentreThatAnOwnRequestContradicts() {
        OutlierDetector east = new OutlierDetector(EAST);
        assertThat(east.reportedByPeer(ID, WEST, 700, 0)).isTrue();
        east.succeeded(ID, 10, 20);
        assertThat(east.reportedByPeer(ID, WEST, 2_500, 2_000)).isFalse();
        assertThat(east.ignoredReports()).isEqualTo(1);
        assertThat(east.failureProbability(ID, 2_000)).isZero();
        assertThat(east.reportedByPeer(ID, NORTH, 700, 2_000)).isTrue();
        assertThat(east.reportedByPeer(ID, EAST, 700, 2_000)).isTrue();
        assertThat(east.reportedByPeer(ID, null, 700, 2_000)).isTrue();
    }

    /** Guards against requests to an upstream that fails everywhere although routers of other data centres say so. */
    @Test
    void believesReportsAgainAfterAFailureOrSomeTime() {
        OutlierDetector east = contradicted();
        east.failed(ID, FailureKind.ERROR, 2_000);
        assertThat(east.reportedByPeer(ID, WEST, 700, 2_000)).isTrue();
        assertThat(contradicted().reportedByPeer(ID, WEST, 700, 20_000)).isTrue();
    }

    @Test
    void doesNotCountSuccessesOfRequestsSentBeforeAReport() {
        OutlierDetector east = new OutlierDetector(EAST);
        for (int i = 1; i < 10; i++) {
            assertThat(east.reportedByPeer(ID, WEST, 700, 100 * i)).isTrue();
            east.succeeded(ID, 100 * i - 1, 100 * i + 10);
        }
    }

    /** Guards against requests to full upstreams: a success after such a report does not contradict it. */
    @Test
    void alwaysBelievesThatAnUpstreamIsFull() {
        OutlierDetector east = new OutlierDetector(EAST);
        long full = new OutlierDetector().rejectedAsFull(ID, 0);
        for (int i = 0; i < 10; i++) {
            assertThat(east.reportedByPeer(ID, WEST, full, 1_000 * i)).isTrue();
            east.succeeded(ID, 1_000 * i + 500, 1_000 * i + 600);
        }
        assertThat(contradicted().reportedByPeer(ID, WEST, full, 1_200)).isTrue();
    }

    private static OutlierDetector contradicted() {
        OutlierDetector east = new OutlierDetector(EAST);
        east.reportedByPeer(ID, WEST, 700, 0);
        east.succeeded(ID, 10, 20);
        return east;
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
