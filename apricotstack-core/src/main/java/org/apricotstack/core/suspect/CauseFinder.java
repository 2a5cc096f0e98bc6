package org.apricotstack.core.suspect;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;

/**
 * Tells requests that end upstreams from those that only were there.
 *
 * <p>What goes wrong with a plain count: a request that ends upstreams takes others with it. These are sent again,
 * often to the same upstream as the cause, and meet as many ends as it does. So an end does not count against a request
 *
 * <ul>
 *   <li>that had got some of its answer there, as the upstream had run it and lived;
 *   <li>if another request is known to be the cause of it;
 *   <li>if other upstreams ended at the same moment without the request.
 * </ul>
 *
 * <p>Of requests that share their ends the one with more of them is the cause. While they share all, neither is: the
 * next sends go to different upstreams and tell them apart.
 */
final class CauseFinder {

    /** Ends that make a request the cause: one may be chance and two bad luck; each more costs another upstream. */
    static final int MIN_CRASHES_OF_CAUSE = 3;

    /**
     * Ends that make a request the cause though some of its answer had come, or other upstreams ended at the same
     * moment: a request may end its upstream late, and an attacker may hide it among many others that do. One that was
     * only there seldom meets so many, as its callers give up before.
     */
    static final int MIN_CRASHES_OF_HIDDEN_CAUSE = 6;

    private final Collection<Suspect> suspects;
    private final UpstreamCrashes upstreamCrashes;

    /** Creates a finder that looks at all suspects. */
    CauseFinder(Collection<Suspect> suspects, UpstreamCrashes upstreamCrashes) {
        this.suspects = suspects;
        this.upstreamCrashes = upstreamCrashes;
    }

    /** Returns the ends that count against a request before it had got any of its answer. */
    Set<UpstreamId> countedCrashes(Suspect suspect) {
        return unexplainedCrashes(suspect, false);
    }

    /** Returns the ends of which no other request is the cause; of these all, or those that count against it. */
    private Set<UpstreamId> unexplainedCrashes(Suspect suspect, boolean all) {
        Set<UpstreamId> left = new HashSet<>();
        for (Map.Entry<UpstreamId, Crash> one : suspect.crashes().entrySet()) {
            UpstreamId upstream = one.getKey();
            boolean counts = all
                    || !one.getValue().answerStarted()
                            && !upstreamCrashes.crashedWithOthers(upstream, suspect.request());
            if (counts && !hasOtherCause(upstream, suspect)) {
                left.add(upstream);
            }
        }
        return left;
    }

    /** Tells whether another request is known to have ended an upstream. */
    private boolean hasOtherCause(UpstreamId upstream, Suspect suspect) {
        for (Suspect other : suspects) {
            if (other != suspect && other.isCause() && other.crashes().containsKey(upstream)) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether so many ends count against a request that it or one that shares them is the cause. */
    boolean mayBeCause(Suspect suspect) {
        return suspect.crashes().size() >= MIN_CRASHES_OF_CAUSE
                && !decisiveCrashes(suspect).isEmpty();
    }

    /** Returns the ends that would make a request the cause; none if they are too few. */
    private Set<UpstreamId> decisiveCrashes(Suspect suspect) {
        Set<UpstreamId> early = unexplainedCrashes(suspect, false);
        if (early.size() >= MIN_CRASHES_OF_CAUSE) {
            return early;
        }
        Set<UpstreamId> all = unexplainedCrashes(suspect, true);
        return all.size() >= MIN_CRASHES_OF_HIDDEN_CAUSE ? all : Set.of();
    }

    /**
     * Finds the cause of the ends under a request that may be it.
     *
     * @return the request itself, another one that explains more, or {@code null} if two share all their ends
     */
    Suspect causeOf(Suspect suspect) {
        Set<UpstreamId> ownCrashes = decisiveCrashes(suspect);
        Suspect best = suspect;
        Set<UpstreamId> largest = ownCrashes;
        boolean shared = false;
        for (Suspect other : suspects) {
            boolean canExplain =
                    other != suspect && !other.isCause() && other.crashes().size() >= largest.size();
            Set<UpstreamId> otherCrashes = canExplain ? decisiveCrashes(other) : Set.of();
            if (canExplain && otherCrashes.size() >= largest.size() && otherCrashes.containsAll(ownCrashes)) {
                shared = otherCrashes.size() == largest.size();
                best = other;
                largest = otherCrashes;
            }
        }
        return shared ? null : best;
    }
}
