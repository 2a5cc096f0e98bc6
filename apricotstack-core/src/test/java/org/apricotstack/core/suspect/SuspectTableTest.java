package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.SuspectDecision.Action;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectTableTest {

    private static final ProcessId OWN = new ProcessId(new HostId("own"), 1);
    private static final ProcessId PEER = new ProcessId(new HostId("peer"), 1);
    private static final RequestDigest CAUSE = new RequestDigest(1, 1);
    private static final RequestDigest OTHER = new RequestDigest(2, 2);

    /** Time between two unrelated crashes, in milliseconds. */
    private static final long UNRELATED_MILLIS = 1_000;

    private final List<SuspectedTrait> found = new ArrayList<>();
    private final SuspectTable table = new SuspectTable(OWN, found::add);
    private long now = 10_000;

    private static UpstreamId upstream(int number) {
        return new UpstreamId("upstream-" + number);
    }

    private void crash(int number, boolean answerStarted, RequestDigest... requests) {
        for (RequestDigest request : requests) {
            table.upstreamCrashed(request, new ObservedCrash(upstream(number), answerStarted, now), OWN, now);
        }
    }

    /** Lets upstreams crash one after the other while requests without any part of an answer are in flight. */
    private void crashUnrelated(int first, int last, RequestDigest... requests) {
        for (int number = first; number <= last; number++) {
            now += UNRELATED_MILLIS;
            crash(number, false, requests);
        }
    }

    private Action decide(RequestDigest request) {
        return table.decide(request, now).action();
    }

    private Action decideSettled(RequestDigest request) {
        now += SuspectTable.SETTLE_MILLIS;
        return decide(request);
    }

    @Test
    void sendsARequestThatIsNotSuspected() {
        crashUnrelated(1, 3, CAUSE);
        assertThat(decideSettled(OTHER)).isEqualTo(Action.SEND);
        assertThat(table.mayContain(OTHER.head())).isFalse();
    }

    @Test
    void runsTrialsAfterTheFirstCrashAndRefusesAfterTheThird() {
        crashUnrelated(1, 1, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.TRY);
        crashUnrelated(2, 2, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.TRY);
        crashUnrelated(3, 3, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
        assertThat(found).hasSize(1);
        assertThat(found.get(0).crashes()).hasSize(3);
    }

    /**
     * Guards against refusing a request that was merely in flight: three upstreams crashed under two requests, and the
     * router identified the second one as the cause before it learned of a fourth crash under the first one.
     */
    @Test
    void waitsForGossipBeforeItIdentifiesACause() {
        crashUnrelated(1, 3, CAUSE);
        assertThat(decide(CAUSE)).isEqualTo(Action.SETTLE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
    }

    /**
     * Guards against refusing prompts of others after the crash of three engines: they ran on the engine that the cause
     * crashed, and were retried at the same engines as the cause, so that a mere count of crashes was the same for all.
     */
    @Test
    void doesNotSuspectARequestWhoseAnswerHadStartedEachTime() {
        now += UNRELATED_MILLIS;
        crash(1, false, CAUSE);
        crash(1, true, OTHER);
        now += UNRELATED_MILLIS;
        crash(2, false, CAUSE);
        crash(2, true, OTHER);
        now += UNRELATED_MILLIS;
        crash(3, false, CAUSE);
        crash(3, true, OTHER);
        assertThat(decideSettled(OTHER)).isEqualTo(Action.SEND);
        assertThat(decide(CAUSE)).isEqualTo(Action.REFUSE);
    }

    @Test
    void refusesARequestAfterSixCrashesThoughItsAnswerHadStarted() {
        for (int number = 1; number < CauseFinder.MIN_CRASHES_OF_HIDDEN_CAUSE; number++) {
            now += UNRELATED_MILLIS;
            crash(number, true, CAUSE);
        }
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.SEND);
        now += UNRELATED_MILLIS;
        crash(CauseFinder.MIN_CRASHES_OF_HIDDEN_CAUSE, true, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
    }

    @Test
    void identifiesTheRequestThatExplainsMoreCrashesAndClearsTheOther() {
        crashUnrelated(1, 1, CAUSE);
        crashUnrelated(2, 4, CAUSE, OTHER);
        assertThat(decideSettled(OTHER)).isEqualTo(Action.SEND);
        assertThat(found).extracting(SuspectedTrait::trait).containsExactly(CAUSE);
        assertThat(decide(CAUSE)).isEqualTo(Action.REFUSE);
    }

    @Test
    void distinguishesRequestsWithTheSameCrashesByOneMoreCrash() {
        crashUnrelated(1, 3, CAUSE, OTHER);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.TRY);
        table.trialStarted(CAUSE, OWN, upstream(4), now + 5_000);
        SuspectDecision other = table.decide(OTHER, now);
        assertThat(other.action()).isEqualTo(Action.TRY);
        assertThat(other.avoided()).containsExactly(upstream(4));
        crashUnrelated(4, 4, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
        assertThat(decide(OTHER)).isEqualTo(Action.SEND);
    }

    /**
     * Guards against refusing requests after power failures of racks: a request was in flight at three racks of three
     * engines that failed one after the other, and each crash was counted, although a request cannot crash engines to
     * which it was not sent.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, UpstreamCrashes.SIMULTANEOUS_MILLIS / 2})
    void doesNotSuspectARequestOfCrashesSimultaneousWithOthers(long spreadMillis) {
        for (int rack = 0; rack < 4; rack++) {
            now += UNRELATED_MILLIS;
            crash(10 * rack, false, CAUSE);
            crash(10 * rack + 1, false, new RequestDigest(10, rack));
            now += spreadMillis;
            crash(10 * rack + 2, false, new RequestDigest(11, rack));
        }
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.SEND);
    }

    @Test
    void suspectsARequestInFlightAtAllSimultaneouslyCrashedUpstreams() {
        now += UNRELATED_MILLIS;
        crash(1, false, CAUSE);
        crash(2, false, CAUSE, OTHER);
        crash(3, false, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
        assertThat(decide(OTHER)).isEqualTo(Action.SEND);
    }

    /**
     * Guards against a request that keeps crashing upstreams because others crash of other causes at the same times, so
     * that none of its crashes counts.
     */
    @Test
    void refusesARequestAfterSixCrashesThoughOthersWereSimultaneous() {
        for (int number = 1; number <= CauseFinder.MIN_CRASHES_OF_HIDDEN_CAUSE; number++) {
            assertThat(decideSettled(CAUSE)).isEqualTo(Action.SEND);
            now += UNRELATED_MILLIS;
            crash(10 * number, false, CAUSE);
            crash(10 * number + 1, false, new RequestDigest(10, number));
            crash(10 * number + 2, false, new RequestDigest(11, number));
        }
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
    }

    @Test
    void countsACrashOnceHoweverOftenItIsReported() {
        crashUnrelated(1, 2, CAUSE);
        for (int i = 0; i < 5; i++) {
            crash(2, false, CAUSE);
        }
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.TRY);
    }

    @Test
    void distinguishesIncarnationsOfOneUpstream() {
        for (int start = 1; start <= 3; start++) {
            now += UNRELATED_MILLIS;
            table.upstreamCrashed(CAUSE, new ObservedCrash(new UpstreamId("only", start), false, now), OWN, now);
        }
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
    }

    @Test
    void clearsARequestThatWasServed() {
        crashUnrelated(1, 2, CAUSE);
        assertThat(table.requestServed(CAUSE)).isTrue();
        crashUnrelated(3, 4, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.TRY);
        assertThat(table.size()).isEqualTo(1);
    }

    @Test
    void holdsARequestDuringATrialOfAnotherRouter() {
        crashUnrelated(1, 1, CAUSE);
        table.trialStarted(CAUSE, PEER, upstream(2), now + 5_000);
        assertThat(decide(CAUSE)).isEqualTo(Action.HOLD);
        table.trialEnded(CAUSE, PEER, now);
        assertThat(decide(CAUSE)).isEqualTo(Action.HOLD);
        now += 9 * TrialSchedule.RECHECK_MILLIS;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
    }

    /**
     * Guards against five crashes within a tenth of a second: five routers had the same request in flight, and when one
     * of them reported a crash, each of the others cancelled its attempt and sent the request again at once, as no
     * trial was known.
     */
    @Test
    void letsTheRouterThatObservedACrashContinueFirst() {
        now += UNRELATED_MILLIS;
        table.upstreamCrashed(CAUSE, new ObservedCrash(upstream(1), false, now), PEER, now);
        assertThat(decide(CAUSE)).isEqualTo(Action.HOLD);
        now += 9 * TrialSchedule.RECHECK_MILLIS;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
    }

    @Test
    void continuesAtOnceAfterItsOwnTrial() {
        crashUnrelated(1, 1, CAUSE);
        table.trialStarted(CAUSE, OWN, upstream(2), now + 5_000);
        assertThat(decide(CAUSE)).isEqualTo(Action.HOLD);
        table.trialEnded(CAUSE, OWN, now);
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
    }

    @Test
    void doesNotWaitForARemovedRouterOrATimedOutTrial() {
        crashUnrelated(1, 1, CAUSE);
        table.trialStarted(CAUSE, PEER, upstream(2), now + 100);
        now += 101;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
        table.trialStarted(CAUSE, PEER, upstream(2), now + 5_000);
        table.removeProcess(PEER, now);
        now += 9 * TrialSchedule.RECHECK_MILLIS;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
    }

    /**
     * Guards against refusing a request for ever that a new version of the upstream would run, and against three more
     * crashes after each period of refusal: the request is sent once as a trial when the period ends.
     */
    @Test
    void retriesARefusedRequestOnceAfterATimeAndRefusesItAgainAfterACrash() {
        crashUnrelated(1, 3, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
        now += SuspectTable.REFUSED_MILLIS;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
        table.trialStarted(CAUSE, OWN, upstream(4), now + 5_000);
        assertThat(decide(CAUSE)).isEqualTo(Action.HOLD);
        table.trialEnded(CAUSE, OWN, now);
        crash(4, false, CAUSE);
        assertThat(decide(CAUSE)).isEqualTo(Action.REFUSE);
    }

    @Test
    void removesARequestWithoutRecentCrashes() {
        crashUnrelated(1, 3, CAUSE);
        now += SuspectTable.RETENTION_MILLIS;
        table.expire(now);
        assertThat(table.isEmpty()).isTrue();
        assertThat(table.mayContain(CAUSE.head())).isFalse();
    }

    /**
     * Guards against running out of memory and against losing the record of a request that crashes upstreams: an
     * attacker sends any number of different requests, each of which crashes an upstream.
     */
    @Test
    void evictsRequestsWithTheFewestCrashesFirst() {
        crashUnrelated(1, 3, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
        crashUnrelated(4, 5, OTHER);
        int flood = 3 * SuspectRecords.MAX_SUSPECTS;
        for (int i = 0; i < flood; i++) {
            now++;
            table.upstreamCrashed(
                    new RequestDigest(100 + i, i), new ObservedCrash(upstream(100 + i), false, now), OWN, now);
        }
        assertThat(table.size()).isEqualTo(SuspectRecords.MAX_SUSPECTS);
        assertThat(table.dropped()).isEqualTo(flood - SuspectRecords.MAX_SUSPECTS + 2);
        assertThat(decide(CAUSE)).isEqualTo(Action.REFUSE);
        assertThat(table.find(OTHER, now).crashes()).hasSize(2);
    }

    @Test
    void isNotMisledByOneForgedReport() {
        crashUnrelated(1, 2, CAUSE, OTHER);
        crash(3, false, OTHER);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.TRY);
    }

    @Test
    void ignoresOutdatedReports() {
        long longAgo = now - SuspectTable.RETENTION_MILLIS;
        assertThat(table.upstreamCrashed(CAUSE, new ObservedCrash(upstream(1), false, longAgo), null, now))
                .isFalse();
        assertThat(table.isEmpty()).isTrue();
    }
}
