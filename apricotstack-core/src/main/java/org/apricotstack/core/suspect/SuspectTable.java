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
 * Requests under which upstreams ended, as this router saw it and as the others told.
 *
 * <p>What goes wrong without it: a request ends the upstream that begins to run it, its callers repeat it at any router
 * with a new id, and no limit holds over these repeats, so that it ends one upstream after the other. So each router
 * tells the others of each end; all know the same and decide alike. From the first end on the request is sent to one
 * upstream at a time in the whole fleet, from the third on to none ({@link CauseFinder}). A request that is served
 * whole is no longer suspected.
 *
 * <p>An upstream's new version may have mended it, so a request is refused for {@link #REFUSED_MILLIS}, then tried
 * once; if it ends that upstream too, it is refused again. One that goes on to come costs an upstream in that time.
 */
public final class SuspectTable {

    /** Time for which a request is refused after the last end under it, in milliseconds: at most 48 ends a day. */
    public static final long REFUSED_MILLIS = 30 * 60_000;

    /** Time after the last end at which a request is forgotten, in milliseconds. */
    public static final long RETENTION_MILLIS = 2 * REFUSED_MILLIS;

    /** Requests that are remembered: an attacker may send any number, and each takes about a kilobyte. */
    public static final int MAX_SUSPECTS = 1_000;

    /**
     * Time for which a cause is not named after the last end, in milliseconds: what else was in flight there is told
     * by other routers meanwhile.
     */
    static final long SETTLE_MILLIS = 40;

    /** Time between two looks of a request that is held, in milliseconds; news between routers take less. */
    static final long RECHECK_MILLIS = 20;

    /** Moments after a trial over which routers that hold the same request are spread, so that one goes first. */
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
     * @param onCauseFound takes each request that is found to be the cause
     */
    public SuspectTable(ProcessId own, Consumer<SuspectedRequest> onCauseFound) {
        this.own = own;
        this.onCauseFound = onCauseFound;
    }

    /**
     * Tells cheaply whether a request may be among the suspects.
     *
     * @param head the hash of all but its body
     * @return {@code false} if it is none
     */
    public boolean mayContain(long head) {
        return headCounts.containsKey(head);
    }

    /**
     * Tells whether any request is suspected.
     *
     * @return whether none is
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Notes that an upstream ended while a request was in flight there.
     *
     * @param request the request
     * @param end what ended, and when
     * @param seenBy the router process that saw it, which may go on first, or {@code null} if that was long ago
     * @param nowMillis the time
     * @return whether this was not known
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

    /** Forgets the request with the fewest ends, of these the one whose last is longest ago. */
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
     * Notes that an upstream ran a request to its end, so that it is not suspected.
     *
     * @param request the request
     * @return whether it was suspected
     */
    public boolean requestServed(RequestDigest request) {
        return forget(request);
    }

    /** Forgets a request; tells whether it was known. */
    private boolean forget(RequestDigest request) {
        boolean known = suspects.remove(request) != null;
        if (known) {
            headCounts.computeIfPresent(request.head(), (head, count) -> count > 1 ? count - 1 : null);
        }
        return known;
    }

    /**
     * Decides what is done with a request that is about to be sent.
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

    /** Returns when this router may try a request after another one did. */
    private long earliestTrialMillis(Suspect suspect) {
        if (suspect.lastTrialRouter() == null || suspect.lastTrialRouter().equals(own)) {
            return Long.MIN_VALUE;
        }
        int slot = Math.floorMod(own.hashCode() * 31 + suspect.request().hashCode(), TRIAL_SLOTS);
        return suspect.lastTrialEndMillis() + RECHECK_MILLIS * (1 + slot);
    }

    /** Returns the upstreams at which other suspected requests are tried. */
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
     * Tells whether a request is sent to no upstream, and finds out whether it is the cause if that can be known now.
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

    /** Names the causes of the ends under a request, those that explain most of them first. */
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
     * Tells whether any end of an upstream counts against a request.
     *
     * @param request the request
     * @return whether its repeats are sent one at a time
     */
    public boolean isSuspected(RequestDigest request) {
        Suspect suspect = suspects.get(request);
        return suspect != null
                && (suspect.isCause() || !causeFinder.countedCrashes(suspect).isEmpty());
    }

    /**
     * Tells whether so many upstreams ended under a request that its cause has to be looked for.
     *
     * @param request the request
     * @return whether it may be the cause
     */
    public boolean mayBeCause(RequestDigest request) {
        Suspect suspect = suspects.get(request);
        return suspect != null && !suspect.isCause() && causeFinder.mayBeCause(suspect);
    }

    /**
     * Notes that a router sent a suspected request.
     *
     * @param request the request
     * @param router the router process
     * @param upstream where it was sent
     * @param endMillis when it is over in any case
     */
    public void trialStarted(RequestDigest request, ProcessId router, UpstreamId upstream, long endMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect != null) {
            suspect.trialStarted(router, new Trial(upstream, endMillis));
        }
    }

    /**
     * Notes that what a router sent is over, for whatever reason.
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
     * Forgets what a router tried that is gone.
     *
     * @param router the router process
     * @param nowMillis the time
     */
    public void removeProcess(ProcessId router, long nowMillis) {
        suspects.values().forEach(suspect -> suspect.trialEnded(router, nowMillis));
    }

    /**
     * Forgets requests under which no upstream has ended for long.
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
     * Lists suspected requests, those with the most ends first.
     *
     * @param most requests at the most
     * @param nowMillis the time
     * @return what is known of them
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
     * Returns what is known of one request.
     *
     * @param request the request
     * @param nowMillis the time
     * @return what is known, or {@code null} if it is not suspected
     */
    public SuspectedRequest find(RequestDigest request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        return suspect == null ? null : describe(suspect, nowMillis);
    }

    /** Shows a suspect as it is now. */
    private static SuspectedRequest describe(Suspect suspect, long nowMillis) {
        List<SuspectedRequest.ReportedCrash> crashes = new ArrayList<>();
        suspect.crashes()
                .forEach((upstream, crash) -> crashes.add(new SuspectedRequest.ReportedCrash(
                        upstream, crash.answerStarted(), Math.max(0, nowMillis - crash.atMillis()))));
        return new SuspectedRequest(suspect.request(), crashes, suspect.sinceMillis(), suspect.isCause());
    }

    /**
     * Returns how many requests are suspected.
     *
     * @return requests
     */
    public int size() {
        return suspects.size();
    }

    /**
     * Returns how many requests are found to be causes.
     *
     * @return requests
     */
    public int causes() {
        return (int) suspects.values().stream().filter(Suspect::isCause).count();
    }

    /**
     * Returns how many requests were forgotten as there were too many.
     *
     * @return requests since the start
     */
    public long dropped() {
        return dropped;
    }
}
