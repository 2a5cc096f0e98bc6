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

    /** Time between two ends that have nothing to do with each other. */
    private static final long UNRELATED_MILLIS = 1_000;

    private final List<SuspectedRequest> found = new ArrayList<>();
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

    /** Lets upstreams end one after the other while requests are in flight that had got nothing of their answers. */
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
     * Symptom: a request that only was there is refused. Sequence: three upstreams end under two requests; the router
     * asks about the second one before it has heard that a fourth had ended under the first. Cause: the judgement came
     * before all that was in flight could be told.
     */
    @Test
    void waitsForGossipBeforeItIdentifiesACause() {
        crashUnrelated(1, 3, CAUSE);
        assertThat(decide(CAUSE)).isEqualTo(Action.SETTLE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
    }

    /**
     * Symptom: prompts of others are refused after a crash of three engines. Sequence: they run on an engine, the cause
     * ends it, they are sent again to the engine to which the cause is sent again. Cause: a plain count of ends.
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
        assertThat(found).extracting(SuspectedRequest::request).containsExactly(CAUSE);
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
     * Symptom: requests are refused on a day on which racks lose power. Sequence: three engines at a time are lost at
     * one moment, and a request meets three such moments. Cause: each end was counted, though no request can end an
     * engine to which it was not sent.
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
     * Symptom: a request goes on to end upstreams. Sequence: whenever it ends one, others end of other causes at the
     * same moment. Cause: an end that may have another cause never counts.
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
        now += 9 * SuspectTable.RECHECK_MILLIS;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
    }

    /**
     * Symptom: five upstreams end in a tenth of a second. Sequence: five routers have the same request in flight; one
     * sees its upstream end and tells the others, each of which takes the request back and sends it again at once.
     * Cause: who hears of an end took the request for one that nobody tries.
     */
    @Test
    void letsTheRouterThatObservedACrashContinueFirst() {
        now += UNRELATED_MILLIS;
        table.upstreamCrashed(CAUSE, new ObservedCrash(upstream(1), false, now), PEER, now);
        assertThat(decide(CAUSE)).isEqualTo(Action.HOLD);
        now += 9 * SuspectTable.RECHECK_MILLIS;
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
        now += 9 * SuspectTable.RECHECK_MILLIS;
        assertThat(decide(CAUSE)).isEqualTo(Action.TRY);
    }

    /**
     * Symptom: a request that an upstream's new version would run is refused for ever, or one that still ends upstreams
     * ends three of them each time that it is tried. Sequence: its refusal ends after a time, and it is tried once.
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
     * Symptom: memory runs out, or a request that ends upstreams is forgotten. Sequence: an attacker sends any number
     * of different requests each of which ends an upstream.
     */
    @Test
    void evictsRequestsWithTheFewestCrashesFirst() {
        crashUnrelated(1, 3, CAUSE);
        assertThat(decideSettled(CAUSE)).isEqualTo(Action.REFUSE);
        crashUnrelated(4, 5, OTHER);
        int flood = 3 * SuspectTable.MAX_SUSPECTS;
        for (int i = 0; i < flood; i++) {
            now++;
            table.upstreamCrashed(
                    new RequestDigest(100 + i, i), new ObservedCrash(upstream(100 + i), false, now), OWN, now);
        }
        assertThat(table.size()).isEqualTo(SuspectTable.MAX_SUSPECTS);
        assertThat(table.dropped()).isEqualTo(flood - SuspectTable.MAX_SUSPECTS + 2);
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
