package org.apricotstack.core.suspect;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Decides which router tries a suspected request or shared trait next, so that one trial runs at a time in the fleet.
 */
final class TrialSchedule {

    /** Interval at which a held request is re-evaluated, in milliseconds; gossip messages take less time. */
    static final long RECHECK_MILLIS = 20;

    /**
     * Number of time slots after a trial over which routers that hold the same request are spread, so that one of them
     * starts the next trial before the others.
     */
    private static final int TRIAL_SLOTS = 8;

    /**
     * The same for shared traits, for which requests may wait at all routers of a large fleet. The slots take turns, as
     * the routers may have waited for the same event.
     */
    private static final int SHARED_TRIAL_SLOTS = 64;

    private final ProcessId own;
    private final Collection<Suspect> suspects;

    /** Creates the schedule of a router process for a live view of all suspects. */
    TrialSchedule(ProcessId own, Collection<Suspect> suspects) {
        this.own = own;
        this.suspects = suspects;
    }

    /** Decides whether a suspected request waits for another trial or is the next one. */
    SuspectDecision holdOrTry(Suspect suspect, long earliestMillis, boolean nextCrashDecides, long nowMillis) {
        if (!suspect.trials(nowMillis).isEmpty() || nowMillis < earliestMillis) {
            return SuspectDecision.hold(RECHECK_MILLIS);
        }
        return SuspectDecision.attempt(nextCrashDecides ? upstreamsOfOtherTrials(suspect, nowMillis) : Set.of());
    }

    /** Returns the earliest time at which this router may start a trial after another router's trial. */
    long nextTrialMillis(Suspect suspect) {
        if (suspect.lastTrialRouter() == null || suspect.lastTrialRouter().equals(own)) {
            return Long.MIN_VALUE;
        }
        return suspect.lastTrialEndMillis() + RECHECK_MILLIS * (1 + slot(suspect, TRIAL_SLOTS));
    }

    /** Returns the slot of this router. */
    private int slot(Suspect suspect, int slots) {
        return Math.floorMod(own.hashCode() * 31 + suspect.trait().hashCode(), slots);
    }

    /** Decides whether a request with a suspected shared trait waits for another trial or is the next one. */
    SuspectDecision holdOrTryShared(Suspect suspect, boolean afterRefusal, long nowMillis) {
        long turn = Math.floorMod(nowMillis / RECHECK_MILLIS, (long) SHARED_TRIAL_SLOTS);
        boolean ownTurn = turn == slot(suspect, SHARED_TRIAL_SLOTS);
        boolean endedOwnTrial = !afterRefusal && own.equals(suspect.lastTrialRouter());
        return holdOrTry(suspect, ownTurn || endedOwnTrial ? Long.MIN_VALUE : Long.MAX_VALUE, true, nowMillis);
    }

    /** Returns the upstreams at which trials of other suspected requests are in flight. */
    private Set<UpstreamId> upstreamsOfOtherTrials(Suspect suspect, long nowMillis) {
        Set<UpstreamId> upstreams = new HashSet<>();
        for (Suspect other : suspects) {
            if (other != suspect) {
                other.trials(nowMillis).values().forEach(trial -> upstreams.add(trial.upstream()));
            }
        }
        return upstreams;
    }
}
