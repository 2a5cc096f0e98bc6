package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The suspects that are remembered, with a bound for each kind. */
final class SuspectRecords {

    /**
     * Maximum number of suspected requests, and of suspected shared traits. An attacker may send any number of
     * requests, and each suspect takes about a kilobyte.
     */
    static final int MAX_SUSPECTS = 1_000;

    /**
     * Time within which a shared trait must have been served before its first crash to be less suspicious, in
     * milliseconds.
     */
    private static final long SERVED_BEFORE_MILLIS = 60_000;

    private final Map<RequestTrait, Suspect> suspects = new HashMap<>();
    private final Map<Long, Integer> headCounts = new HashMap<>();
    private final ServedTraits servedTraits = new ServedTraits();
    private int sharedCount;
    private long dropped;

    /** Returns a live view of all suspects. */
    Collection<Suspect> all() {
        return Collections.unmodifiableCollection(suspects.values());
    }

    /** Returns a suspect, or {@code null}. */
    Suspect find(RequestTrait trait) {
        return suspects.get(trait);
    }

    /** Returns whether a suspected request has a head hash. */
    boolean containsHead(long head) {
        return headCounts.containsKey(head);
    }

    /** Returns the suspect for a trait, which is added without crashes if it is unknown. */
    Suspect findOrAdd(RequestTrait trait, long atMillis) {
        Suspect suspect = suspects.get(trait);
        return suspect == null ? add(trait, atMillis) : suspect;
    }

    /** Adds a suspect without crashes. */
    private Suspect add(RequestTrait trait, long atMillis) {
        evictLeastSuspected(trait.isShared());
        boolean servedBefore = servedTraits.servedSince(trait, atMillis - SERVED_BEFORE_MILLIS);
        Suspect suspect = new Suspect(trait, atMillis, servedBefore);
        suspects.put(trait, suspect);
        if (trait instanceof RequestDigest request) {
            headCounts.merge(request.head(), 1, Integer::sum);
        } else {
            sharedCount++;
        }
        return suspect;
    }

    /**
     * Makes room for one more suspect: evicts the one of its kind with the fewest crashes; among equals, the one with
     * the oldest last crash.
     */
    private void evictLeastSuspected(boolean shared) {
        int count = shared ? sharedCount : suspects.size() - sharedCount;
        if (count < MAX_SUSPECTS) {
            return;
        }
        Suspect leastSuspected = suspects.values().stream()
                .filter(one -> one.trait().isShared() == shared)
                .min(Comparator.<Suspect>comparingInt(one -> one.crashes().size())
                        .thenComparingLong(Suspect::lastCrashMillis))
                .orElseThrow();
        forget(leastSuspected.trait());
        dropped++;
    }

    /** Records that a request with a shared trait was served; returns whether the trait was suspected. */
    boolean served(SharedTrait trait, long nowMillis) {
        servedTraits.record(trait, nowMillis);
        return forget(trait);
    }

    /** Removes a suspect; returns whether it was known. */
    boolean forget(RequestTrait trait) {
        Suspect suspect = suspects.remove(trait);
        if (suspect == null) {
            return false;
        }
        if (trait instanceof RequestDigest request) {
            headCounts.computeIfPresent(request.head(), (head, count) -> count > 1 ? count - 1 : null);
        } else {
            sharedCount--;
            removeCompanions(suspect);
        }
        return true;
    }

    /** Separates a shared trait from those that were identified together with it. */
    void removeCompanions(Suspect suspect) {
        suspect.companions().forEach(other -> suspects.get(other).companions().remove(suspect.trait()));
        suspect.companions().clear();
    }

    /** Removes suspects whose last crash is at least some time ago. */
    void expire(long nowMillis, long retentionMillis) {
        List<RequestTrait> expired = new ArrayList<>();
        for (Suspect suspect : suspects.values()) {
            if (nowMillis - suspect.lastCrashMillis() >= retentionMillis) {
                expired.add(suspect.trait());
            }
        }
        expired.forEach(this::forget);
    }

    /** Returns the number of suspected shared traits. */
    int sharedCount() {
        return sharedCount;
    }

    /** Returns the number of suspects that were evicted since the router started. */
    long dropped() {
        return dropped;
    }
}
