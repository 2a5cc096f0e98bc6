package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.SuspectDecision.Action;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SharedTraitTest {

    private static final ProcessId OWN = new ProcessId(new HostId("own"), 1);
    private static final ProcessId PEER = new ProcessId(new HostId("peer"), 1);
    private static final ServiceId SERVICE = new ServiceId("engines");
    private static final PromptPart FIRST = part(1);
    private static final PromptPart CRASHING = part(2);
    private static final PromptPart SOUND = part(3);
    private static final long UNRELATED_MILLIS = 1_000;

    /** Time in which each router has its turn for a trial. */
    private static final long ALL_TURNS_MILLIS = 64 * TrialSchedule.RECHECK_MILLIS;

    private final List<SharedTrait> found = new ArrayList<>();
    private final SuspectTable table = new SuspectTable(OWN, cause -> found.add((SharedTrait) cause.trait()));
    private long now = 100_000;
    private int crashes;
    private long requests;

    private static PromptPart part(long id) {
        return new PromptPart(SERVICE, new PromptPartId(id));
    }

    /** Lets an upstream crash while a request that never came before was in flight. */
    private void crash(PromptPart... parts) {
        crash(new RequestDigest(++requests, 0), parts);
    }

    private void crash(RequestDigest request, PromptPart... parts) {
        ObservedCrash crash = new ObservedCrash(new UpstreamId("upstream-" + ++crashes), true, now);
        table.upstreamCrashed(request, crash, PEER, now);
        for (PromptPart part : parts) {
            table.upstreamCrashed(part, crash, PEER, now);
        }
    }

    private void crashInTurn(int count, PromptPart... parts) {
        for (int i = 0; i < count; i++) {
            now += UNRELATED_MILLIS;
            crash(parts);
        }
        now += SuspectTable.SETTLE_MILLIS;
    }

    private Action decide(PromptPart... parts) {
        return table.decideShared(List.of(parts), now).action();
    }

    /** Returns whether a request is sent as a trial within the time in which each router has its turn. */
    private boolean isTried(PromptPart... parts) {
        long endMillis = now + ALL_TURNS_MILLIS;
        while (now < endMillis && decide(parts) == Action.HOLD) {
            now += TrialSchedule.RECHECK_MILLIS;
        }
        return decide(parts) == Action.TRY;
    }

    @Test
    void refusesAPartAfterFourCrashesWhateverElseTheRequestsHave() {
        crashInTurn(4, CRASHING);
        assertThat(decide(FIRST, CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(table.refusedTrait(List.of(FIRST, CRASHING), now)).isEqualTo(CRASHING);
        assertThat(decide(FIRST, SOUND)).isEqualTo(Action.SEND);
        assertThat(found).containsExactly(CRASHING);
    }

    @Test
    void waitsForReportsOfOtherRoutersBeforeItRefuses() {
        crashInTurn(4, CRASHING);
        now -= SuspectTable.SETTLE_MILLIS;
        assertThat(decide(CRASHING)).isEqualTo(Action.SETTLE);
    }

    @Test
    void sendsRequestsWithAPartOneAtATimeAfterThreeCrashes() {
        crashInTurn(2, CRASHING);
        assertThat(decide(CRASHING)).isEqualTo(Action.SEND);
        crashInTurn(1, CRASHING);
        assertThat(isTried(CRASHING)).isTrue();
        table.trialStarted(CRASHING, PEER, new UpstreamId("other"), now + 60_000);
        assertThat(isTried(CRASHING)).isFalse();
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
    }

    /** Guards against refusing the part that all requests have, which is in flight at every crash. */
    @Test
    void doesNotSuspectAPartThatIsServedBetweenCrashes() {
        for (int i = 0; i < 10; i++) {
            crashInTurn(2, FIRST, CRASHING);
            assertThat(table.sharedTraitServed(FIRST, now)).isTrue();
        }
        assertThat(decide(FIRST)).isEqualTo(Action.SEND);
        assertThat(decide(FIRST, CRASHING)).isEqualTo(Action.REFUSE);
    }

    @Test
    void requiresMoreCrashesOfAPartThatWasServedShortlyBefore() {
        table.sharedTraitServed(FIRST, now);
        crashInTurn(4, FIRST);
        assertThat(decide(FIRST)).isNotEqualTo(Action.REFUSE);
        crashInTurn(1, FIRST);
        assertThat(decide(FIRST)).isEqualTo(Action.REFUSE);
    }

    @Test
    void findsThePartThatWasNotServedAmongPartsInFlightAtAllCrashes() {
        table.sharedTraitServed(FIRST, now);
        crashInTurn(6, FIRST, CRASHING);
        assertThat(decide(FIRST, CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(decide(FIRST)).isEqualTo(Action.SEND);
        assertThat(found).containsExactly(CRASHING);
    }

    /** Guards against refusing a part because one request that has it crashes upstreams whenever it is repeated. */
    @Test
    void doesNotSuspectThePartsOfOneRequestThatCrashesUpstreams() {
        RequestDigest request = new RequestDigest(1_000, 0);
        for (int i = 0; i < 6; i++) {
            now += UNRELATED_MILLIS;
            crash(request, SOUND);
        }
        now += UNRELATED_MILLIS;
        crash(SOUND);
        now += SuspectTable.SETTLE_MILLIS;
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
    }

    /** Guards against refusing a part after a power failure of a rack at which it was in flight everywhere. */
    @Test
    void countsSimultaneousCrashesAsOneMoment() {
        for (int i = 0; i < 8; i++) {
            crash(SOUND);
        }
        now += SuspectTable.SETTLE_MILLIS;
        assertThat(isTried(SOUND)).isTrue();
        crashInTurn(1, SOUND);
        assertThat(decide(SOUND)).isNotEqualTo(Action.REFUSE);
        assertThat(table.sharedTraitServed(SOUND, now)).isTrue();
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
    }

    /** Guards against twice as many crashes if each request is sent to another upstream within milliseconds. */
    @Test
    void countsTheCrashesOfARequestThatWasSentAgainAsTwoMoments() {
        for (int i = 0; i < 2; i++) {
            now += UNRELATED_MILLIS;
            RequestDigest request = new RequestDigest(2_000 + i, 0);
            crash(request, CRASHING);
            now += UpstreamCrashes.SIMULTANEOUS_MILLIS / 10;
            crash(request, CRASHING);
        }
        now += SuspectTable.SETTLE_MILLIS;
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
    }

    /** Guards against twenty crashes within 300 ms by requests that come as soon as the one before has ended. */
    @Test
    void countsACrashDuringATrialAsAMomentOfItsOwn() {
        crashInTurn(2, CRASHING);
        for (int i = 0; i < 2; i++) {
            UpstreamId upstream = new UpstreamId("tried-" + i);
            if (i > 0) {
                assertThat(decide(CRASHING)).isEqualTo(Action.TRY);
                table.trialStarted(CRASHING, OWN, upstream, now + 5_000);
                table.trialEnded(CRASHING, OWN, now);
            }
            ObservedCrash crash = new ObservedCrash(upstream, true, now);
            table.upstreamCrashed(CRASHING, crash, OWN, now);
            table.upstreamCrashed(new RequestDigest(2_000 + i, 0), crash, OWN, now);
            now += SuspectTable.SETTLE_MILLIS;
        }
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
    }

    @Test
    void doesNotSuspectAPartInFlightAtAMinorityOfTheCrashes() {
        for (int i = 0; i < 4; i++) {
            crashInTurn(1, SOUND);
            crashInTurn(2, part(100 + i));
        }
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
    }

    @Test
    void doesNotSuspectAPartOfCrashesSimultaneousWithOthers() {
        for (int i = 0; i < 5; i++) {
            now += UNRELATED_MILLIS;
            crash(SOUND);
            crash(part(100 + i));
            crash(part(200 + i));
        }
        now += SuspectTable.SETTLE_MILLIS;
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
    }

    @Test
    void findsTwoPartsThatCrashUpstreamsAtTheSameTime() {
        for (int i = 0; i < 5; i++) {
            crashInTurn(1, FIRST, CRASHING);
            crashInTurn(1, FIRST, SOUND);
            table.sharedTraitServed(FIRST, now);
        }
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(decide(SOUND)).isEqualTo(Action.REFUSE);
        assertThat(decide(FIRST)).isEqualTo(Action.SEND);
    }

    /** Guards against refusing a sound part that so far came only together with the one that crashes upstreams. */
    @Test
    void refusesPartsWithTheSameCrashesOnlyTogether() {
        crashInTurn(4, SOUND, CRASHING);
        assertThat(decide(SOUND, CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(isTried(SOUND)).isTrue();
        table.sharedTraitServed(SOUND, now);
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
    }

    @Test
    void revokesACauseThatALaterOneExplains() {
        UpstreamId[] upstreams = new UpstreamId[6];
        for (int i = 0; i < upstreams.length; i++) {
            now += UNRELATED_MILLIS;
            upstreams[i] = new UpstreamId("engine-" + i);
            if (i > 0 && i < 5) {
                table.upstreamCrashed(SOUND, new ObservedCrash(upstreams[i], true, now), PEER, now);
            }
        }
        now += SuspectTable.SETTLE_MILLIS;
        assertThat(decide(SOUND)).isEqualTo(Action.REFUSE);
        for (int i = 0; i < upstreams.length; i++) {
            long atMillis = now - (upstreams.length - i) * UNRELATED_MILLIS;
            table.upstreamCrashed(CRASHING, new ObservedCrash(upstreams[i], true, atMillis), null, now);
        }
        crashInTurn(3, CRASHING);
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(decide(SOUND)).isEqualTo(Action.SEND);
    }

    /** Guards against holding requests with a sound part for ever while another part explains its crashes. */
    @Test
    void triesAPartWhoseCrashesAnotherSuspectedOneExplains() {
        explainSoundByUnidentified();
        now += UNRELATED_MILLIS;
        assertThat(isTried(SOUND)).isTrue();
    }

    /** Lets the sound part have enough moments of crashes; the other one, in flight at all of them, has too few. */
    private void explainSoundByUnidentified() {
        now += UNRELATED_MILLIS;
        for (int i = 0; i < 4; i++) {
            RequestDigest request = new RequestDigest(++requests, 0);
            UpstreamId upstream = new UpstreamId("simultaneous-" + i);
            for (PromptPart part : List.of(SOUND, CRASHING)) {
                table.upstreamCrashed(part, new ObservedCrash(upstream, true, now), PEER, now);
            }
            table.upstreamCrashed(request, new ObservedCrash(upstream, true, now), PEER, now);
            if (i > 0) {
                table.trialStarted(SOUND, PEER, upstream, now);
                table.trialEnded(SOUND, PEER, now);
            }
        }
        table.upstreamCrashed(CRASHING, new ObservedCrash(new UpstreamId("one-more"), true, now), PEER, now);
    }

    /** Guards against a failure when a part is forgotten that was named together with one that was revoked. */
    @Test
    void forgetsAPartWhoseCompanionWasRevoked() {
        crashInTurn(4, SOUND, FIRST);
        assertThat(decide(SOUND, FIRST)).isEqualTo(Action.REFUSE);
        table.upstreamCrashed(SOUND, new ObservedCrash(new UpstreamId("own"), true, now), PEER, now);
        for (int i = 1; i <= crashes; i++) {
            ObservedCrash crash = new ObservedCrash(new UpstreamId("upstream-" + i), true, now);
            table.upstreamCrashed(CRASHING, crash, null, now);
        }
        crashInTurn(4, CRASHING);
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(table.sharedTraitServed(FIRST, now)).isTrue();
        assertThat(table.sharedTraitServed(SOUND, now)).isTrue();
    }

    @Test
    void triesARefusedPartAgainSoonAndLaterOnlyAfterALongTime() {
        crashInTurn(4, CRASHING);
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
        now += SuspectTable.FIRST_REFUSED_MILLIS;
        assertThat(isTried(CRASHING)).isTrue();
        table.trialStarted(CRASHING, OWN, new UpstreamId("trial"), now + 5_000);
        crash(CRASHING);
        table.trialEnded(CRASHING, OWN, now);
        now += SuspectTable.FIRST_REFUSED_MILLIS + ALL_TURNS_MILLIS;
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
        now += SuspectTable.REFUSED_MILLIS;
        assertThat(isTried(CRASHING)).isTrue();
    }

    @Test
    void servesAPartAgainAfterATrialWasServed() {
        crashInTurn(4, CRASHING);
        now += SuspectTable.FIRST_REFUSED_MILLIS;
        assertThat(isTried(CRASHING)).isTrue();
        assertThat(table.sharedTraitServed(CRASHING, now)).isTrue();
        assertThat(decide(CRASHING)).isEqualTo(Action.SEND);
    }

    @Test
    void doesNotRefuseThePartAtAnotherService() {
        crashInTurn(4, CRASHING);
        assertThat(decide(new PromptPart(new ServiceId("other"), CRASHING.id())))
                .isEqualTo(Action.SEND);
    }

    /** Guards against losing the record of a part while a caller sends any number of new ones. */
    @Test
    void evictsPartsWithTheFewestCrashesFirstAndNoRequests() {
        crashInTurn(4, CRASHING);
        RequestDigest request = new RequestDigest(1_000, 0);
        now += UNRELATED_MILLIS;
        crash(request);
        for (int i = 0; i < 2 * SuspectRecords.MAX_SUSPECTS; i++) {
            table.upstreamCrashed(part(1_000 + i), new ObservedCrash(new UpstreamId("new"), true, now), PEER, now);
        }
        assertThat(table.sharedTraits()).isEqualTo(SuspectRecords.MAX_SUSPECTS);
        assertThat(decide(CRASHING)).isEqualTo(Action.REFUSE);
        assertThat(table.find(request, now)).isNotNull();
    }
}
