package org.apricotstack.core.suspect;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Requests that were in flight when upstreams crashed, and the traits that they share with others, as observed by this
 * router or reported by others.
 *
 * <p>A request that crashes the upstream that runs it would otherwise crash one upstream after the other: its callers
 * repeat it with new ids at any router, so that limits on retries don't apply. Routers therefore report each crash to
 * all others, so that all have the same state and make the same decisions. After the first crash the request is sent to
 * one upstream at a time in the whole fleet, and after the third crash to none (see {@link CauseFinder}). A request
 * that is served completely is no longer suspected.
 *
 * <p>Requests that differ as a whole may share the trait that crashes upstreams, such as a part of their prompts.
 * Crashes are counted for each such trait too. As most shared traits are harmless, it takes several crashes until
 * requests with a trait are sent one at a time, and more evidence until they are refused (see {@link
 * SharedCauseFinder}).
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
     * Time for which requests with a shared trait are refused when it was just identified, in milliseconds. A short one
     * limits the harm of a wrong identification; after a few more crashes {@link #REFUSED_MILLIS} applies.
     */
    public static final long FIRST_REFUSED_MILLIS = 10_000;

    /**
     * Time after the last crash during which no cause is identified, in milliseconds, as other routers report their
     * requests in flight there meanwhile.
     */
    static final long SETTLE_MILLIS = 40;

    private final Consumer<SuspectedTrait> onCauseFound;
    private final SuspectRecords records = new SuspectRecords();
    private final UpstreamCrashes upstreamCrashes = new UpstreamCrashes();
    private final CauseFinder causeFinder = new CauseFinder(records.all(), upstreamCrashes);
    private final TrialSchedule trials;
    private final SharedTraitPolicy sharedTraits;

    /**
     * Creates a table without suspects.
     *
     * @param own this router process
     * @param onCauseFound receives each request or shared trait that is identified as a cause
     */
    public SuspectTable(ProcessId own, Consumer<SuspectedTrait> onCauseFound) {
        this.onCauseFound = onCauseFound;
        this.trials = new TrialSchedule(own, records.all());
        this.sharedTraits = new SharedTraitPolicy(records, upstreamCrashes, trials, onCauseFound);
    }

    /**
     * Checks cheaply whether a request may be a suspect.
     *
     * @param head the head hash of the request
     * @return {@code false} if it is certainly no suspect
     */
    public boolean mayContain(long head) {
        return records.containsHead(head);
    }

    /**
     * Tells whether the table is empty.
     *
     * @return whether nothing is suspected
     */
    public boolean isEmpty() {
        return records.all().isEmpty();
    }

    /**
     * Records that an upstream crashed while a request was in flight there.
     *
     * @param trait the request, or a trait that it shares with others
     * @param crash the observed crash
     * @param seenBy the router process that observed it, which may start the next trial first; {@code null} if that was
     *     long ago
     * @param nowMillis the time
     * @return whether the crash was new
     */
    public boolean upstreamCrashed(RequestTrait trait, ObservedCrash crash, ProcessId seenBy, long nowMillis) {
        long atMillis = crash.atMillis();
        if (nowMillis - atMillis >= RETENTION_MILLIS) {
            return false;
        }
        Suspect suspect = records.findOrAdd(trait, atMillis);
        upstreamCrashes.record(crash.upstream(), trait, atMillis);
        boolean isNew = suspect.recordCrash(crash.upstream(), new Crash(crash.answerStarted(), atMillis, nowMillis));
        if (isNew && seenBy != null) {
            suspect.recordTrialEnd(seenBy, nowMillis);
        }
        return isNew;
    }

    /**
     * Records that an upstream served a request completely, which clears it of suspicion.
     *
     * @param request the request
     * @return whether it was suspected
     */
    public boolean requestServed(RequestDigest request) {
        return records.forget(request);
    }

    /**
     * Records that an upstream served a request with a shared trait completely, which clears the trait of suspicion.
     *
     * @param trait the trait
     * @param nowMillis the time
     * @return whether it was suspected
     */
    public boolean sharedTraitServed(SharedTrait trait, long nowMillis) {
        return records.served(trait, nowMillis);
    }

    /**
     * Decides how to handle a request that is about to be sent, by the request alone.
     *
     * @param request the request
     * @param nowMillis the time
     * @return the decision
     */
    public SuspectDecision decide(RequestDigest request, long nowMillis) {
        Suspect suspect = records.find(request);
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
        boolean nextCrashDecides = countedCrashes >= CauseFinder.MIN_CRASHES_OF_CAUSE - 1;
        long unsettledMillis = suspect.learnedMillis() + SETTLE_MILLIS - nowMillis;
        if (causeFinder.mayBeCause(suspect) && unsettledMillis > 0) {
            return SuspectDecision.settle(unsettledMillis);
        }
        return trials.holdOrTry(suspect, trials.nextTrialMillis(suspect), nextCrashDecides, nowMillis);
    }

    /**
     * Decides how to handle a request that is about to be sent, by the traits that it shares with others.
     *
     * @param traits all shared traits of the request
     * @param nowMillis the time
     * @return the strictest decision about any of them
     */
    public SuspectDecision decideShared(Collection<? extends SharedTrait> traits, long nowMillis) {
        return sharedTraits.decide(traits, nowMillis);
    }

    /**
     * Tells whether a request is refused. Identifies the cause of its crashes first if that is possible by now.
     *
     * @param request the request
     * @param nowMillis the time
     * @return whether it is refused
     */
    public boolean isRefused(RequestDigest request, long nowMillis) {
        Suspect suspect = records.find(request);
        if (suspect == null) {
            return false;
        }
        if (!suspect.isCause() && nowMillis - suspect.learnedMillis() >= SETTLE_MILLIS) {
            identifyCauses(suspect, nowMillis);
        }
        return suspect.isCause() && nowMillis - suspect.lastCrashMillis() < REFUSED_MILLIS;
    }

    /**
     * Tells whether a request is refused for a trait that it shares with others. Identifies the causes of crashes first
     * if that is possible by now.
     *
     * @param traits all shared traits of the request
     * @param nowMillis the time
     * @return the trait that causes the refusal, or {@code null}
     */
    public SharedTrait refusedTrait(Collection<? extends SharedTrait> traits, long nowMillis) {
        return sharedTraits.refusedTrait(traits, nowMillis);
    }

    /**
     * Identifies the shared traits that are the cause of crashes by now. Called once the reports about a crash have
     * arrived, as later crashes for other reasons would make the cause less clear.
     *
     * @param nowMillis the time
     */
    public void identifySharedCauses(long nowMillis) {
        sharedTraits.identifyCauses(nowMillis);
    }

    /** Identifies the causes of a request's crashes, starting with the one that accounts for most of them. */
    private void identifyCauses(Suspect suspect, long nowMillis) {
        while (!suspect.isCause() && causeFinder.mayBeCause(suspect)) {
            Suspect found = causeFinder.causeOf(suspect);
            if (found == null) {
                return;
            }
            found.markCause();
            onCauseFound.accept(found.describe(nowMillis));
        }
    }

    /**
     * Tells whether enough crashes count against a request or shared trait: one against a request.
     *
     * @param trait the request or shared trait
     * @return whether requests with it are sent as trials, one at a time
     */
    public boolean isSuspected(RequestTrait trait) {
        Suspect suspect = records.find(trait);
        if (suspect == null || suspect.isCause()) {
            return suspect != null;
        }
        return trait.isShared()
                ? sharedTraits.isSuspected(suspect)
                : !causeFinder.countedCrashes(suspect).isEmpty();
    }

    /**
     * Tells whether a request or shared trait has enough crashes that the cause has to be identified.
     *
     * @param trait the request or shared trait
     * @return whether it may be the cause
     */
    public boolean mayBeCause(RequestTrait trait) {
        Suspect suspect = records.find(trait);
        if (suspect == null || suspect.isCause()) {
            return false;
        }
        return trait.isShared() ? sharedTraits.mayBeCause(suspect) : causeFinder.mayBeCause(suspect);
    }

    /**
     * Records that a router started a trial of a suspected request.
     *
     * @param trait the request, or the shared trait for which it is tried
     * @param router the router process
     * @param upstream the upstream that runs the trial
     * @param endMillis time at which the trial times out
     */
    public void trialStarted(RequestTrait trait, ProcessId router, UpstreamId upstream, long endMillis) {
        Suspect suspect = records.find(trait);
        if (suspect != null) {
            suspect.trialStarted(router, new Trial(upstream, endMillis));
        }
    }

    /**
     * Records the end of a router's trial with any outcome.
     *
     * @param trait the request, or the shared trait for which it was tried
     * @param router the router process
     * @param nowMillis the time
     */
    public void trialEnded(RequestTrait trait, ProcessId router, long nowMillis) {
        Suspect suspect = records.find(trait);
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
        records.all().forEach(suspect -> suspect.trialEnded(router, nowMillis));
    }

    /**
     * Removes suspects without a crash within {@link #RETENTION_MILLIS}.
     *
     * @param nowMillis the time
     */
    public void expire(long nowMillis) {
        records.expire(nowMillis, RETENTION_MILLIS);
    }

    /**
     * Lists suspected requests and shared traits, those with the most crashes first.
     *
     * @param maxCount maximum number of suspects
     * @param nowMillis the time
     * @return the suspects with their crashes
     */
    public List<SuspectedTrait> list(int maxCount, long nowMillis) {
        return records.all().stream()
                .sorted(Comparator.<Suspect>comparingInt(one -> -one.crashes().size())
                        .thenComparing(Comparator.comparingLong(Suspect::lastCrashMillis)
                                .reversed()))
                .limit(maxCount)
                .map(suspect -> suspect.describe(nowMillis))
                .toList();
    }

    /**
     * Returns one suspected request or shared trait.
     *
     * @param trait the request or shared trait
     * @param nowMillis the time
     * @return the suspect with its crashes; {@code null} if it is not suspected
     */
    public SuspectedTrait find(RequestTrait trait, long nowMillis) {
        Suspect suspect = records.find(trait);
        return suspect == null ? null : suspect.describe(nowMillis);
    }

    /**
     * Returns the number of suspected requests and shared traits.
     *
     * @return suspects
     */
    public int size() {
        return records.all().size();
    }

    /**
     * Returns the number of suspected shared traits.
     *
     * @return traits
     */
    public int sharedTraits() {
        return records.sharedCount();
    }

    /**
     * Returns the number of requests and shared traits that were identified as causes.
     *
     * @return suspects
     */
    public int causes() {
        return (int) records.all().stream().filter(Suspect::isCause).count();
    }

    /**
     * Returns the number of suspects that were evicted because the table was full.
     *
     * @return number of suspects since the router started
     */
    public long dropped() {
        return records.dropped();
    }
}
