package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Requests that were in flight when upstreams crashed, as observed by this router or reported by others.
 *
 * <p>A request that crashes the upstream that runs it would otherwise crash one upstream after the other: its callers
 * repeat it with new ids at any router, so that limits on retries don't apply. Routers therefore report each crash to
 * all others, so that all have the same state and make the same decisions. After the first crash the request is sent to
 * one upstream at a time in the whole fleet, and after the third crash to none (see {@link CauseFinder}). A request
 * that is served completely is no longer suspected.
 *
 * <p>A new version of the upstream may have fixed the fault, so a request is refused for {@link #REFUSED_MILLIS} and
 * then sent once as a trial. If that upstream crashes too, the request is refused again. A request that keeps being
 * repeated thus costs one upstream per period.
 */
public final class SuspectTable {

    /** Time for which a request is refused after its last crash, in milliseconds; allows at most 48 crashes a day. */
    public static final long REFUSED_MILLIS = 30 * 60_000;

    /** Time after its last crash at which a request is removed, in milliseconds. */
    public static final long RETENTION_MILLIS = 2 * REFUSED_MILLIS;

    /**
     * Maximum number of suspects. An attacker may send any number of requests, and each suspect takes about a kilobyte.
     */
    public static final int MAX_SUSPECTS = 1_000;

    /**
     * Time after the last crash during which no cause is identified, in milliseconds, as other routers report their
     * requests in flight there meanwhile.
     */
    static final long SETTLE_MILLIS = 40;

    /** Interval at which a held request is re-evaluated, in milliseconds; gossip messages take less time. */
    static final long RECHECK_MILLIS = 20;

    /**
     * Number of time slots after a trial over which routers that hold the same request are spread, so that one of them
     * starts the next trial before the others.
     */
    private static final int TRIAL_SLOTS = 8;

    private final ProcessId own;
    private final Consumer<SuspectedRequest> onCauseFound;
    private final Map<RequestDigest, Suspect> suspects = new HashMap<>();
    private final Map<Long, Integer> headCounts = new HashMap<>();
    private final UpstreamCrashes upstreamCrashes = new UpstreamCrashes();
    private final CauseFinder causeFinder = new CauseFinder(suspects.values(), upstreamCrashes);
    private long dropped;

    /**
     * Creates a table without suspects.
     *
     * @param own this router process
     * @param onCauseFound receives each request that is identified as a cause
     */
    public SuspectTable(ProcessId own, Consumer<SuspectedRequest> onCauseFound) {
        this.own = own;
        this.onCauseFound = onCauseFound;
    }

    /**
     * Checks cheaply whether a request may be a suspect.
     *
     * @param head the head hash of the request
     * @return {@code false} if it is certainly no suspect
     */
    public boolean mayContain(long head) {
        return headCounts.containsKey(head);
    }

    /**
     * Tells whether the table is empty.
     *
     * @return whether no request is suspected
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Records that an upstream crashed while a request was in flight there.
     *
     * @param request the request
     * @param crash the observed crash
     * @param seenBy the router process that observed it, which may start the next trial first; {@code null} if that was
     *     long ago
     * @param nowMillis the time
     * @return whether the crash was new
     */
    public boolean upstreamCrashed(RequestDigest request, ObservedCrash crash, ProcessId seenBy, long nowMillis) {
        long atMillis = crash.atMillis();
        if (nowMillis - atMillis >= RETENTION_MILLIS) {
            return false;
        }
        Suspect suspect = suspects.get(request);
        if (suspect == null) {
            evictLeastSuspected();
            suspect = new Suspect(request, atMillis);
            suspects.put(request, suspect);
            headCounts.merge(request.head(), 1, Integer::sum);
        }
        upstreamCrashes.record(crash.upstream(), request, atMillis);
        boolean isNew = suspect.recordCrash(crash.upstream(), new Crash(crash.answerStarted(), atMillis, nowMillis));
        if (isNew && seenBy != null) {
            suspect.recordTrialEnd(seenBy, nowMillis);
        }
        return isNew;
    }

    /** Evicts the request with the fewest crashes; among equals, the one with the oldest last crash. */
    private void evictLeastSuspected() {
        if (suspects.size() < MAX_SUSPECTS) {
            return;
        }
        Suspect leastSuspected = suspects.values().stream()
                .min(Comparator.<Suspect>comparingInt(one -> one.crashes().size())
                        .thenComparingLong(Suspect::lastCrashMillis))
                .orElseThrow();
        forget(leastSuspected.request());
        dropped++;
    }

    /**
     * Records that an upstream served a request completely, which clears it of suspicion.
     *
     * @param request the request
     * @return whether it was suspected
     */
    public boolean requestServed(RequestDigest request) {
        return forget(request);
    }

    /** Removes a request; returns whether it was a suspect. */
    private boolean forget(RequestDigest request) {
        boolean known = suspects.remove(request) != null;
        if (known) {
            headCounts.computeIfPresent(request.head(), (head, count) -> count > 1 ? count - 1 : null);
        }
        return known;
    }

    /**
     * Decides how to handle a request that is about to be sent.
     *
     * @param request the request
     * @param nowMillis the time
     * @return the decision
     */
    public SuspectDecision decide(RequestDigest request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect == null) {
            return SuspectDecision.SEND;
        }
        if (isRefused(request, nowMillis)) {
            return SuspectDecision.REFUSE;
        }
        int countedCrashes = causeFinder.countedCrashes(suspect).size();
        if (countedCrashes == 0 && !suspect.isCause()) {
            return SuspectDecision.SEND;
        }
        long settledMillis = suspect.learnedMillis() + SETTLE_MILLIS;
        if (causeFinder.mayBeCause(suspect) && nowMillis < settledMillis) {
            return SuspectDecision.settle(settledMillis - nowMillis);
        }
        if (!suspect.trials(nowMillis).isEmpty() || nowMillis < earliestTrialMillis(suspect)) {
            return SuspectDecision.hold(RECHECK_MILLIS);
        }
        boolean nextCrashDecides = countedCrashes >= CauseFinder.MIN_CRASHES_OF_CAUSE - 1;
        return SuspectDecision.attempt(nextCrashDecides ? upstreamsOfOtherTrials(suspect, nowMillis) : Set.of());
    }

    /** Returns the earliest time at which this router may start a trial after another router's trial. */
    private long earliestTrialMillis(Suspect suspect) {
        if (suspect.lastTrialRouter() == null || suspect.lastTrialRouter().equals(own)) {
            return Long.MIN_VALUE;
        }
        int slot = Math.floorMod(own.hashCode() * 31 + suspect.request().hashCode(), TRIAL_SLOTS);
        return suspect.lastTrialEndMillis() + RECHECK_MILLIS * (1 + slot);
    }

    /** Returns the upstreams at which trials of other suspected requests are in flight. */
    private Set<UpstreamId> upstreamsOfOtherTrials(Suspect suspect, long nowMillis) {
        Set<UpstreamId> upstreams = new HashSet<>();
        for (Suspect other : suspects.values()) {
            if (other != suspect) {
                other.trials(nowMillis).values().forEach(trial -> upstreams.add(trial.upstream()));
            }
        }
        return upstreams;
    }

    /**
     * Tells whether a request is refused. Identifies the cause of its crashes first if that is possible by now.
     *
     * @param request the request
     * @param nowMillis the time
     * @return whether it is refused
     */
    public boolean isRefused(RequestDigest request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect == null) {
            return false;
        }
        if (!suspect.isCause() && nowMillis - suspect.learnedMillis() >= SETTLE_MILLIS) {
            identifyCauses(suspect, nowMillis);
        }
        return suspect.isCause() && nowMillis - suspect.lastCrashMillis() < REFUSED_MILLIS;
    }

    /** Identifies the causes of a request's crashes, starting with the one that accounts for most of them. */
    private void identifyCauses(Suspect suspect, long nowMillis) {
        while (!suspect.isCause() && causeFinder.mayBeCause(suspect)) {
            Suspect found = causeFinder.causeOf(suspect);
            if (found == null) {
                return;
            }
            found.markCause();
            onCauseFound.accept(describe(found, nowMillis));
        }
    }

    /**
     * Tells whether any crash counts against a request.
     *
     * @param request the request
     * @return whether its repeats are sent as trials, one at a time
     */
    public boolean isSuspected(RequestDigest request) {
        Suspect suspect = suspects.get(request);
        return suspect != null
                && (suspect.isCause() || !causeFinder.countedCrashes(suspect).isEmpty());
    }

    /**
     * Tells whether a request has enough crashes that the cause has to be identified.
     *
     * @param request the request
     * @return whether it may be the cause
     */
    public boolean mayBeCause(RequestDigest request) {
        Suspect suspect = suspects.get(request);
        return suspect != null && !suspect.isCause() && causeFinder.mayBeCause(suspect);
    }

    /**
     * Records that a router started a trial of a suspected request.
     *
     * @param request the request
     * @param router the router process
     * @param upstream the upstream that runs the trial
     * @param endMillis time at which the trial times out
     */
    public void trialStarted(RequestDigest request, ProcessId router, UpstreamId upstream, long endMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect != null) {
            suspect.trialStarted(router, new Trial(upstream, endMillis));
        }
    }

    /**
     * Records the end of a router's trial with any outcome.
     *
     * @param request the request
     * @param router the router process
     * @param nowMillis the time
     */
    public void trialEnded(RequestDigest request, ProcessId router, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect != null) {
            suspect.trialEnded(router, nowMillis);
        }
    }

    /**
     * Ends the trials of a router process that was removed.
     *
     * @param router the router process
     * @param nowMillis the time
     */
    public void removeProcess(ProcessId router, long nowMillis) {
        suspects.values().forEach(suspect -> suspect.trialEnded(router, nowMillis));
    }

    /**
     * Removes requests without a crash within {@link #RETENTION_MILLIS}.
     *
     * @param nowMillis the time
     */
    public void expire(long nowMillis) {
        List<RequestDigest> expired = new ArrayList<>();
        for (Suspect suspect : suspects.values()) {
            if (nowMillis - suspect.lastCrashMillis() >= RETENTION_MILLIS) {
                expired.add(suspect.request());
            }
        }
        expired.forEach(this::forget);
    }

    /**
     * Lists suspected requests, those with the most crashes first.
     *
     * @param maxCount maximum number of requests
     * @param nowMillis the time
     * @return the requests with their crashes
     */
    public List<SuspectedRequest> list(int maxCount, long nowMillis) {
        return suspects.values().stream()
                .sorted(Comparator.<Suspect>comparingInt(one -> -one.crashes().size())
                        .thenComparing(Comparator.comparingLong(Suspect::lastCrashMillis)
                                .reversed()))
                .limit(maxCount)
                .map(suspect -> describe(suspect, nowMillis))
                .toList();
    }

    /**
     * Returns one suspected request.
     *
     * @param request the request
     * @param nowMillis the time
     * @return the request with its crashes; {@code null} if it is not suspected
     */
    public SuspectedRequest find(RequestDigest request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        return suspect == null ? null : describe(suspect, nowMillis);
    }

    /** Returns a snapshot of a suspect. */
    private static SuspectedRequest describe(Suspect suspect, long nowMillis) {
        List<SuspectedRequest.ReportedCrash> crashes = new ArrayList<>();
        suspect.crashes()
                .forEach((upstream, crash) -> crashes.add(new SuspectedRequest.ReportedCrash(
                        upstream, crash.answerStarted(), Math.max(0, nowMillis - crash.atMillis()))));
        return new SuspectedRequest(suspect.request(), crashes, suspect.sinceMillis(), suspect.isCause());
    }

    /**
     * Returns the number of suspected requests.
     *
     * @return requests
     */
    public int size() {
        return suspects.size();
    }

    /**
     * Returns the number of requests that were identified as causes.
     *
     * @return requests
     */
    public int causes() {
        return (int) suspects.values().stream().filter(Suspect::isCause).count();
    }

    /**
     * Returns the number of requests that were evicted because the table was full.
     *
     * @return number of requests since the router started
     */
    public long dropped() {
        return dropped;
    }
}
