package org.apricotstack.core.suspect;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;

/**
 * Distinguishes requests that crash upstreams from requests that were merely in flight there.
 *
 * <p>Counting crashes is not enough: the other requests in flight at a crashed upstream are retried, often at the same
 * upstream as the cause, and see as many crashes as it does. So a crash does not count against a request
 *
 * <ul>
 *   <li>of which the upstream had sent part of the answer, because it had run the request without crashing;
 *   <li>if another request, or a shared trait of any, is known to have caused the crash;
 *   <li>if other upstreams, at which the request was not in flight, crashed at the same time.
 * </ul>
 *
 * <p>If one request accounts for all crashes of another one and for more, it is the cause. Of requests with the same
 * crashes none is identified yet: their next trials run at different upstreams, which distinguishes them.
 */
final class CauseFinder {

    /**
     * Crashes that identify a request as the cause. One or two may be coincidence; each further one costs another
     * upstream.
     */
    static final int MIN_CRASHES_OF_CAUSE = 3;

    /**
     * Crashes that identify a request as the cause even if part of its answer had arrived or other upstreams crashed at
     * the same time. A request may crash its upstream late, and an attacker may hide it among many others that cause
     * crashes. A request that was merely in flight rarely sees this many, as its caller gives up earlier.
     */
    static final int MIN_CRASHES_OF_HIDDEN_CAUSE = 6;

    private final Collection<Suspect> suspects;
    private final UpstreamCrashes upstreamCrashes;

    /** Creates a finder for a live view of all suspects, requests and shared traits. */
    CauseFinder(Collection<Suspect> suspects, UpstreamCrashes upstreamCrashes) {
        this.suspects = suspects;
        this.upstreamCrashes = upstreamCrashes;
    }

    /** Returns the crashes that count against a request. */
    Set<UpstreamId> countedCrashes(Suspect suspect) {
        return unexplainedCrashes(suspect, false);
    }

    /** Returns the crashes without another known cause: all of them, or only those that count against the request. */
    private Set<UpstreamId> unexplainedCrashes(Suspect suspect, boolean all) {
        Set<UpstreamId> left = new HashSet<>();
        for (Map.Entry<UpstreamId, Crash> one : suspect.crashes().entrySet()) {
            UpstreamId upstream = one.getKey();
            boolean counts = all
                    || !one.getValue().answerStarted() && !upstreamCrashes.crashedWithOthers(upstream, suspect.trait());
            if (counts && !hasOtherCause(upstream, suspect)) {
                left.add(upstream);
            }
        }
        return left;
    }

    /** Tells whether something else is known to have crashed an upstream. */
    private boolean hasOtherCause(UpstreamId upstream, Suspect suspect) {
        for (Suspect other : suspects) {
            if (other != suspect && other.isCause() && other.crashes().containsKey(upstream)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether enough crashes count against a request that it, or another request with the same crashes, is the
     * cause.
     */
    boolean mayBeCause(Suspect suspect) {
        return suspect.crashes().size() >= MIN_CRASHES_OF_CAUSE
                && !decisiveCrashes(suspect).isEmpty();
    }

    /** Returns the crashes that identify a request as a possible cause; empty if there are too few. */
    private Set<UpstreamId> decisiveCrashes(Suspect suspect) {
        Set<UpstreamId> early = unexplainedCrashes(suspect, false);
        if (early.size() >= MIN_CRASHES_OF_CAUSE) {
            return early;
        }
        Set<UpstreamId> all = unexplainedCrashes(suspect, true);
        return all.size() >= MIN_CRASHES_OF_HIDDEN_CAUSE ? all : Set.of();
    }

    /**
     * Finds the cause of the crashes of a request that may be the cause itself.
     *
     * @return the request itself or another one that accounts for more crashes; {@code null} if two requests have the
     *     same crashes
     */
    Suspect causeOf(Suspect suspect) {
        Set<UpstreamId> ownCrashes = decisiveCrashes(suspect);
        Suspect best = suspect;
        Set<UpstreamId> largest = ownCrashes;
        boolean shared = false;
        for (Suspect other : suspects) {
            boolean canExplain = other != suspect
                    && !other.trait().isShared()
                    && !other.isCause()
                    && other.crashes().size() >= largest.size();
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
