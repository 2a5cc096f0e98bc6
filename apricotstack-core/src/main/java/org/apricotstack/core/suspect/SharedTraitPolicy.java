package org.apricotstack.core.suspect;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/** Decides how to handle requests by the traits that they share with others. */
final class SharedTraitPolicy {

    /** Crashes from which on a trait is refused for the longer time. */
    private static final int MAX_CRASHES = 5;

    /** The same for a trait that was served shortly before the first crash, which may be wrongly identified. */
    private static final int MAX_CRASHES_IF_SERVED_BEFORE = 7;

    private final SuspectRecords records;
    private final SharedCauseFinder causeFinder;
    private final TrialSchedule trials;
    private final Consumer<SuspectedTrait> onCauseFound;

    /** Creates a policy; the callback receives each trait that is identified as a cause. */
    SharedTraitPolicy(
            SuspectRecords records,
            UpstreamCrashes upstreamCrashes,
            TrialSchedule trials,
            Consumer<SuspectedTrait> onCauseFound) {
        this.records = records;
        this.causeFinder = new SharedCauseFinder(records.all(), upstreamCrashes);
        this.trials = trials;
        this.onCauseFound = onCauseFound;
    }

    /** Returns whether crashes count against a trait, so that requests with it are sent one at a time. */
    boolean isSuspected(Suspect suspect) {
        return causeFinder.isSuspected(suspect);
    }

    /** Returns whether a trait has enough crashes that the cause has to be identified. */
    boolean mayBeCause(Suspect suspect) {
        return causeFinder.mayBeCause(suspect);
    }

    /** Returns the strictest decision about any trait of a request. */
    SuspectDecision decide(Collection<? extends SharedTrait> traits, long nowMillis) {
        SuspectDecision strictest = SuspectDecision.SEND;
        for (SharedTrait trait : traits) {
            Suspect suspect = records.find(trait);
            if (suspect != null) {
                strictest = strictest.stricter(decide(suspect, traits, nowMillis));
            }
        }
        return strictest;
    }

    /** Decides how to handle a request by one of its shared traits. */
    private SuspectDecision decide(Suspect suspect, Collection<? extends SharedTrait> traits, long nowMillis) {
        if (isRefused(suspect, traits, nowMillis)) {
            return SuspectDecision.REFUSE;
        }
        if (!suspect.isCause() && !causeFinder.isSuspected(suspect)) {
            return SuspectDecision.SEND;
        }
        long unsettledMillis = suspect.learnedMillis() + SuspectTable.SETTLE_MILLIS - nowMillis;
        if (!suspect.isCause() && unsettledMillis > 0 && causeFinder.mayBeCause(suspect)) {
            return SuspectDecision.settle(unsettledMillis);
        }
        boolean afterRefusal = suspect.isCause() && traits.containsAll(suspect.companions());
        return trials.holdOrTryShared(suspect, afterRefusal, nowMillis);
    }

    /** Returns the trait for which a request is refused, or {@code null}. */
    SharedTrait refusedTrait(Collection<? extends SharedTrait> traits, long nowMillis) {
        for (SharedTrait trait : traits) {
            Suspect suspect = records.find(trait);
            if (suspect != null && isRefused(suspect, traits, nowMillis)) {
                return trait;
            }
        }
        return null;
    }

    /** Tells whether a request is refused for one of its shared traits. */
    private boolean isRefused(Suspect suspect, Collection<? extends SharedTrait> traits, long nowMillis) {
        if (!suspect.isCause() && causeFinder.mayBeCause(suspect)) {
            identifyCauses(nowMillis);
        }
        return suspect.isCause() && traits.containsAll(suspect.companions()) && nowMillis < refusedUntilMillis(suspect);
    }

    /** Returns the time until which requests with a shared trait are refused. */
    private static long refusedUntilMillis(Suspect suspect) {
        int maxCrashes = suspect.servedBefore() ? MAX_CRASHES_IF_SERVED_BEFORE : MAX_CRASHES;
        boolean isConfirmed = suspect.crashes().size() >= maxCrashes;
        return suspect.lastCrashMillis()
                + (isConfirmed ? SuspectTable.REFUSED_MILLIS : SuspectTable.FIRST_REFUSED_MILLIS);
    }

    /**
     * Identifies shared traits as causes, starting with those that account for most crashes, once the reports about
     * these have arrived.
     */
    void identifyCauses(long nowMillis) {
        while (true) {
            List<Suspect> candidates = records.all().stream()
                    .filter(one -> one.trait().isShared() && !one.isCause())
                    .filter(causeFinder::mayBeCause)
                    .filter(one -> !causeFinder.isExplainedByAnother(one))
                    .toList();
            if (candidates.isEmpty()) {
                return;
            }
            List<Suspect> found = causeFinder.causeAmong(candidates);
            if (found.stream().anyMatch(one -> nowMillis - one.learnedMillis() < SuspectTable.SETTLE_MILLIS)) {
                return;
            }
            for (Suspect cause : found) {
                cause.markCause();
                found.stream().filter(other -> other != cause).forEach(other -> cause.companions()
                        .add(other.trait()));
            }
            revoke(found);
            found.forEach(cause -> onCauseFound.accept(cause.describe(nowMillis)));
        }
    }

    /** Clears other traits that were identified before enough was known about the cause that explains their crashes. */
    private void revoke(List<Suspect> found) {
        records.all().stream()
                .filter(one -> one.trait().isShared() && one.isCause() && !found.contains(one))
                .filter(one -> found.get(0)
                        .crashes()
                        .keySet()
                        .containsAll(one.crashes().keySet()))
                .forEach(one -> {
                    one.clearCause();
                    records.removeCompanions(one);
                });
    }
}
