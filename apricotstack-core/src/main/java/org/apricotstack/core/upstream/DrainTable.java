package org.apricotstack.core.upstream;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;

/**
 * The upstreams that announced a drain in their responses to this router or to other routers, which report it by
 * gossip.
 *
 * <p>Responses on different connections arrive out of order, so only a response to a request that was sent after the
 * last announcement ends a drain. Drains are recorded per incarnation of an upstream.
 */
public final class DrainTable {

    /**
     * Time after which an announcement that the platform's list contradicts is dropped, in milliseconds. A draining
     * upstream is listed as such within seconds of the platform's return, so a list that still shows it as serving
     * after this time is right.
     */
    public static final long CONTRADICTED_MILLIS = 60_000;

    /**
     * Time for which the drain of an unlisted upstream is kept, in milliseconds, as the upstream may be listed again.
     */
    private static final long UNLISTED_MILLIS = 60_000;

    /** Maximum number of ended drains to remember, so that delayed gossip messages don't restore them. */
    private static final int MAX_ENDS = 1_000;

    private final Map<UpstreamId, AnnouncedDrain> drains = new HashMap<>();
    private final Map<UpstreamId, Long> notContradictedMillis = new HashMap<>();
    private final Map<UpstreamId, Long> endsMillis = new LinkedHashMap<>();
    private long changes;

    /** The current state of an upstream in the platform's list. */
    public enum Listing {
        /** Listed as accepting requests. */
        SERVING,
        /** Not listed. */
        ABSENT,
        /** Listed as draining, or unknown because the platform does not respond. */
        DRAINING_OR_UNKNOWN
    }

    /**
     * Records the drain state that a response advertises.
     *
     * @param upstream the incarnation that responded
     * @param advertised the advertised state
     * @param sentMillis time at which the request was sent, or an earlier time
     * @param nowMillis time at which the response arrived
     * @return the change
     */
    public DrainChange answerReceived(
            UpstreamId upstream, AdvertisedDrain advertised, long sentMillis, long nowMillis) {
        return switch (advertised) {
            case DRAINING -> announced(upstream, nowMillis, nowMillis);
            case SERVING -> drainEnded(upstream, sentMillis);
            case ABSENT, UNREADABLE -> DrainChange.NONE;
        };
    }

    /**
     * Records an announcement that another router received.
     *
     * @param upstream the draining incarnation
     * @param announcedMillis time at which that router received the response
     * @param nowMillis the time
     * @return the change
     */
    public DrainChange reportedByPeer(UpstreamId upstream, long announcedMillis, long nowMillis) {
        return announcedMillis <= endsMillis.getOrDefault(upstream, Long.MIN_VALUE)
                ? DrainChange.NONE
                : announced(upstream, announcedMillis, nowMillis);
    }

    /** Records an announcement. */
    private DrainChange announced(UpstreamId upstream, long atMillis, long nowMillis) {
        AnnouncedDrain before = drains.get(upstream);
        endsMillis.remove(upstream);
        notContradictedMillis.put(upstream, nowMillis);
        if (before != null) {
            drains.put(
                    upstream, new AnnouncedDrain(before.sinceMillis(), Math.max(before.announcedMillis(), atMillis)));
            return DrainChange.NONE;
        }
        drains.put(upstream, new AnnouncedDrain(atMillis, atMillis));
        changes++;
        return DrainChange.BEGAN;
    }

    /**
     * Ends the drain of an upstream that accepts requests again.
     *
     * @param upstream the incarnation
     * @param atMillis time after which it has announced no drain; later announcements are kept
     * @return the change
     */
    public DrainChange drainEnded(UpstreamId upstream, long atMillis) {
        AnnouncedDrain before = drains.get(upstream);
        if (before == null || before.announcedMillis() >= atMillis) {
            return DrainChange.NONE;
        }
        remove(upstream);
        endsMillis.put(upstream, atMillis);
        if (endsMillis.size() > MAX_ENDS) {
            endsMillis.remove(endsMillis.keySet().iterator().next());
        }
        return DrainChange.ENDED;
    }

    /** Removes a drain. */
    private void remove(UpstreamId upstream) {
        drains.remove(upstream);
        notContradictedMillis.remove(upstream);
        changes++;
    }

    /**
     * Ends drains that the platform's list has contradicted for {@link #CONTRADICTED_MILLIS}, and removes drains of
     * upstreams that are no longer listed.
     *
     * @param listing returns the state of an upstream in the platform's list
     * @param nowMillis the time
     * @return the ended drains
     */
    public Map<UpstreamId, AnnouncedDrain> expire(Function<UpstreamId, Listing> listing, long nowMillis) {
        if (drains.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, AnnouncedDrain> ended = new HashMap<>();
        for (UpstreamId upstream : List.copyOf(drains.keySet())) {
            Listing listed = listing.apply(upstream);
            long contradictedForMillis = nowMillis - notContradictedMillis.get(upstream);
            if (listed == Listing.DRAINING_OR_UNKNOWN) {
                notContradictedMillis.put(upstream, nowMillis);
            } else if (listed == Listing.SERVING && contradictedForMillis >= CONTRADICTED_MILLIS) {
                ended.put(upstream, drains.get(upstream));
                drainEnded(upstream, nowMillis);
            } else if (listed == Listing.ABSENT && contradictedForMillis >= UNLISTED_MILLIS) {
                remove(upstream);
            }
        }
        return ended;
    }

    /**
     * Tells whether an upstream announced a drain.
     *
     * @param upstream the incarnation
     * @return whether it accepts no new requests
     */
    public boolean isDraining(UpstreamId upstream) {
        return !drains.isEmpty() && drains.containsKey(upstream);
    }

    /**
     * Returns the drain of an upstream.
     *
     * @param upstream the incarnation
     * @return the drain; {@code null} if none was announced
     */
    public AnnouncedDrain find(UpstreamId upstream) {
        return drains.get(upstream);
    }

    /**
     * Tells whether the table is empty.
     *
     * @return whether no drain is known
     */
    public boolean isEmpty() {
        return drains.isEmpty();
    }

    /**
     * Returns all announced drains.
     *
     * @return an unmodifiable live view of the drains
     */
    public Map<UpstreamId, AnnouncedDrain> all() {
        return Collections.unmodifiableMap(drains);
    }

    /**
     * Returns the time at which the drain of an upstream ended.
     *
     * @param upstream the incarnation
     * @return the time; {@code null} if the upstream is draining or no announcement is known
     */
    public Long endMillis(UpstreamId upstream) {
        return endsMillis.get(upstream);
    }

    /**
     * Returns a counter of changes to the set of draining upstreams.
     *
     * @return a number that increases with each change
     */
    long changes() {
        return changes;
    }
}
