package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Distinguishes shared traits that crash upstreams from those that crashed upstreams merely had in flight.
 *
 * <p>Each crash has many shared traits in flight, and the most popular ones are in flight at all crashes. A request
 * with such a trait is usually served soon after, which clears the trait. So a trait is the cause only if nothing with
 * it has been served since the first of several crashes at separate moments, and
 *
 * <ul>
 *   <li>half of the crashes of its service since then had it in flight;
 *   <li>no single request was in flight at nearly all of them, which would be the narrower cause;
 *   <li>there are more of them if the trait was served shortly before.
 * </ul>
 *
 * <p>Crashes that another shared trait is known to have caused do not count. Traits with the same crashes become the
 * cause together.
 */
final class SharedCauseFinder {

    /** Crashes from which on requests with a trait are sent one at a time. */
    static final int MIN_CRASHES = 3;

    /** Crashes that identify a trait as the cause. */
    static final int MIN_CRASHES_OF_CAUSE = 4;

    /** Moments of these crashes. */
    static final int MIN_MOMENTS = 3;

    /**
     * Moments of crashes of a trait that was served shortly before the first one: a fault since then is less likely.
     */
    static final int MIN_MOMENTS_IF_SERVED_BEFORE = 5;

    /** Crashes that no single request explains. */
    static final int MIN_CRASHES_BEYOND_ONE_REQUEST = 2;

    /** Share of the crashes of the service that must have had the trait in flight. */
    static final double MIN_SHARE_OF_CRASHES = 0.5;

    private final Collection<Suspect> suspects;
    private final UpstreamCrashes upstreamCrashes;

    /** Creates a finder for a live view of all suspects, requests and shared traits. */
    SharedCauseFinder(Collection<Suspect> suspects, UpstreamCrashes upstreamCrashes) {
        this.suspects = suspects;
        this.upstreamCrashes = upstreamCrashes;
    }

    /** Returns whether enough upstreams crashed that requests with a trait are sent one at a time. */
    boolean isSuspected(Suspect suspect) {
        return suspect.crashes().size() >= MIN_CRASHES && isSuspected(suspect, countedCrashes(suspect));
    }

    /** Returns whether a trait, or another one with the same crashes, is the cause. */
    boolean mayBeCause(Suspect suspect) {
        int minMoments = suspect.servedBefore() ? MIN_MOMENTS_IF_SERVED_BEFORE : MIN_MOMENTS;
        if (suspect.crashes().size() < MIN_CRASHES_OF_CAUSE) {
            return false;
        }
        Set<UpstreamId> counted = countedCrashes(suspect);
        return counted.size() >= MIN_CRASHES_OF_CAUSE
                && moments(suspect, counted) >= minMoments
                && isSuspected(suspect, counted);
    }

    /**
     * Finds the traits that account for the most crashes, first among those that were not served shortly before.
     *
     * @param candidates traits that may be the cause, at least one
     * @return the traits with the same crashes
     */
    List<Suspect> causeAmong(List<Suspect> candidates) {
        Suspect best = candidates.stream()
                .min(Comparator.comparing(Suspect::servedBefore)
                        .thenComparingInt(one -> -countedCrashes(one).size()))
                .orElseThrow();
        Set<UpstreamId> crashes = countedCrashes(best);
        return candidates.stream()
                .filter(one -> one.servedBefore() == best.servedBefore())
                .filter(one -> countedCrashes(one).equals(crashes))
                .toList();
    }

    /**
     * Returns whether another suspected trait accounts for all crashes of a trait and for more, though these may
     * still be too few moments to identify it.
     */
    boolean isExplainedByAnother(Suspect suspect) {
        Set<UpstreamId> counted = countedCrashes(suspect);
        return suspects.stream()
                .filter(other -> other.trait().isShared() && !other.isCause())
                .filter(other -> !other.servedBefore() || suspect.servedBefore())
                .filter(other -> other.crashes().size() > counted.size() && isSuspected(other))
                .map(this::countedCrashes)
                .anyMatch(others -> others.size() > counted.size() && others.containsAll(counted));
    }

    /** Returns whether the crashes that count against a trait suffice to suspect it. */
    private boolean isSuspected(Suspect suspect, Set<UpstreamId> counted) {
        return counted.size() >= MIN_CRASHES
                && counted.size() >= MIN_SHARE_OF_CRASHES * crashesOfService(suspect, counted)
                && counted.size() - mostExplainedByOneRequest(counted) >= MIN_CRASHES_BEYOND_ONE_REQUEST;
    }

    /** Returns the crashes that count against a trait. */
    private Set<UpstreamId> countedCrashes(Suspect suspect) {
        Set<UpstreamId> counted = new HashSet<>(suspect.crashes().keySet());
        counted.removeAll(crashesOfOtherCauses(suspect));
        return counted;
    }

    /** Returns the crashes that another shared trait is known to have caused. */
    private Set<UpstreamId> crashesOfOtherCauses(Suspect suspect) {
        Set<UpstreamId> crashes = new HashSet<>();
        for (Suspect other : suspects) {
            boolean isOtherCause = other.isCause()
                    && other.trait().isShared()
                    && other != suspect
                    && !other.companions().contains(suspect.trait());
            if (isOtherCause) {
                crashes.addAll(other.crashes().keySet());
            }
        }
        return crashes;
    }

    /** Returns the largest number of crashes at which the same request was in flight. */
    private long mostExplainedByOneRequest(Set<UpstreamId> crashes) {
        return suspects.stream()
                .filter(other -> !other.trait().isShared())
                .mapToLong(request ->
                        crashes.stream().filter(request.crashes()::containsKey).count())
                .max()
                .orElse(0);
    }

    /** Returns the number of crashes of the trait's service since its first one that no other trait caused. */
    private long crashesOfService(Suspect suspect, Set<UpstreamId> counted) {
        long firstMillis = counted.stream()
                .mapToLong(upstream -> suspect.crashes().get(upstream).atMillis())
                .min()
                .orElse(Long.MAX_VALUE);
        ServiceId service = ((SharedTrait) suspect.trait()).service();
        Set<UpstreamId> crashes = upstreamCrashes.ofService(service, firstMillis);
        crashes.removeAll(crashesOfOtherCauses(suspect));
        return crashes.size();
    }

    /**
     * Returns the number of moments of crashes. Those that follow within a short time may have a common cause and are
     * one moment. They are separate if a request was sent to the second upstream after the first had crashed: as a
     * trial, or as the same request was in flight at both.
     */
    private int moments(Suspect suspect, Set<UpstreamId> crashes) {
        List<UpstreamId> inOrder = new ArrayList<>(crashes);
        inOrder.sort(Comparator.comparingLong(
                upstream -> suspect.crashes().get(upstream).atMillis()));
        int moments = 0;
        long momentMillis = Long.MIN_VALUE / 2;
        List<UpstreamId> moment = new ArrayList<>();
        for (UpstreamId upstream : inOrder) {
            long millis = suspect.crashes().get(upstream).atMillis();
            boolean isLater =
                    millis - momentMillis > UpstreamCrashes.SIMULTANEOUS_MILLIS || suspect.wasTriedAt(upstream);
            if (isLater || moment.size() == 1 && shareARequest(moment.get(0), upstream)) {
                moments++;
                momentMillis = millis;
                moment.clear();
            }
            moment.add(upstream);
        }
        return moments;
    }

    /** Returns whether the same request was in flight at two crashes. */
    private boolean shareARequest(UpstreamId one, UpstreamId other) {
        return suspects.stream()
                .filter(suspect -> !suspect.trait().isShared())
                .anyMatch(request ->
                        request.crashes().containsKey(one) && request.crashes().containsKey(other));
    }
}
