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
 * The upstreams that announced in their answers that they leave, as this router read and as other routers told.
 *
 * <p>Answers overtake each other on different connections, so only an answer to a request that was sent after the last
 * announcement ends a drain. Each start of an upstream leaves by itself.
 */
public final class DrainTable {

    /**
     * Time for which an announcement outlasts a list that contradicts it, in milliseconds: an upstream that leaves is
     * listed as draining within seconds of the platform's return, so a list that still names it serving is right.
     */
    public static final long CONTRADICTED_MILLIS = 60_000;

    /** Time for which the drain of an upstream that is not listed is kept, in milliseconds: it may be listed again. */
    private static final long UNLISTED_MILLIS = 60_000;

    /** Ends that are remembered, so that older news do not bring the drain back. */
    private static final int MOST_ENDS = 1_000;

    private final Map<UpstreamId, AnnouncedDrain> drains = new HashMap<>();
    private final Map<UpstreamId, Long> supportedMillis = new HashMap<>();
    private final Map<UpstreamId, Long> endsMillis = new LinkedHashMap<>();
    private long changes;

    /** What the platform says of an upstream now. */
    public enum Listing {
        /** It is listed and takes requests. */
        SERVING,
        /** It is not listed. */
        ABSENT,
        /** It is listed as leaving, or nobody knows, as the platform does not answer. */
        DRAINING_OR_UNKNOWN
    }

    /**
     * Takes in what an answer says.
     *
     * @param upstream the start that answered
     * @param stated what it says
     * @param sentMillis when the request was sent, or before
     * @param nowMillis when the answer came
     * @return what changed
     */
    public DrainChange answerReceived(UpstreamId upstream, AdvertisedDrain stated, long sentMillis, long nowMillis) {
        return switch (stated) {
            case DRAINING -> announced(upstream, nowMillis, nowMillis);
            case SERVING -> ended(upstream, sentMillis);
            case ABSENT, UNREADABLE -> DrainChange.NONE;
        };
    }

    /**
     * Takes in that another router read an announcement.
     *
     * @param upstream the start that leaves
     * @param announcedMillis when the answer came there
     * @param nowMillis the time
     * @return what changed
     */
    public DrainChange reportedByPeer(UpstreamId upstream, long announcedMillis, long nowMillis) {
        return announcedMillis <= endsMillis.getOrDefault(upstream, Long.MIN_VALUE)
                ? DrainChange.NONE
                : announced(upstream, announcedMillis, nowMillis);
    }

    /** Notes an announcement. */
    private DrainChange announced(UpstreamId upstream, long atMillis, long nowMillis) {
        AnnouncedDrain before = drains.get(upstream);
        endsMillis.remove(upstream);
        supportedMillis.put(upstream, nowMillis);
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
     * Takes in that an upstream takes requests.
     *
     * @param upstream the start
     * @param atMillis a time at which it had announced its drain for the last time, or earlier
     * @return what changed
     */
    public DrainChange ended(UpstreamId upstream, long atMillis) {
        AnnouncedDrain before = drains.get(upstream);
        if (before == null || before.announcedMillis() >= atMillis) {
            return DrainChange.NONE;
        }
        remove(upstream);
        endsMillis.put(upstream, atMillis);
        if (endsMillis.size() > MOST_ENDS) {
            endsMillis.remove(endsMillis.keySet().iterator().next());
        }
        return DrainChange.ENDED;
    }

    /** Drops what is kept of a drain. */
    private void remove(UpstreamId upstream) {
        drains.remove(upstream);
        supportedMillis.remove(upstream);
        changes++;
    }

    /**
     * Ends drains that the platform has contradicted for long, and forgets those of upstreams that are gone.
     *
     * @param listing tells what the platform says of an upstream
     * @param nowMillis the time
     * @return the drains that ended, as they were
     */
    public Map<UpstreamId, AnnouncedDrain> expire(Function<UpstreamId, Listing> listing, long nowMillis) {
        if (drains.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, AnnouncedDrain> ended = new HashMap<>();
        for (UpstreamId upstream : List.copyOf(drains.keySet())) {
            Listing listed = listing.apply(upstream);
            long unsupportedMillis = nowMillis - supportedMillis.get(upstream);
            if (listed == Listing.DRAINING_OR_UNKNOWN) {
                supportedMillis.put(upstream, nowMillis);
            } else if (listed == Listing.SERVING && unsupportedMillis >= CONTRADICTED_MILLIS) {
                ended.put(upstream, drains.get(upstream));
                ended(upstream, nowMillis);
            } else if (listed == Listing.ABSENT && unsupportedMillis >= UNLISTED_MILLIS) {
                remove(upstream);
            }
        }
        return ended;
    }

    /**
     * Tells whether an upstream announced that it leaves.
     *
     * @param upstream the start
     * @return whether it wants no new requests
     */
    public boolean isDraining(UpstreamId upstream) {
        return !drains.isEmpty() && drains.containsKey(upstream);
    }

    /**
     * Finds the drain of an upstream.
     *
     * @param upstream the start
     * @return the drain, or {@code null} if none was announced
     */
    public AnnouncedDrain find(UpstreamId upstream) {
        return drains.get(upstream);
    }

    /**
     * Tells whether no upstream announced that it leaves.
     *
     * @return whether no drain is known
     */
    public boolean isEmpty() {
        return drains.isEmpty();
    }

    /**
     * Returns all drains that were announced.
     *
     * @return the drains; changes with this table
     */
    public Map<UpstreamId, AnnouncedDrain> all() {
        return Collections.unmodifiableMap(drains);
    }

    /**
     * Returns when an upstream was known to take requests again.
     *
     * @param upstream the start
     * @return the time; {@code null} if it leaves, or is not known to have announced it
     */
    public Long endMillis(UpstreamId upstream) {
        return endsMillis.get(upstream);
    }

    /**
     * Counts the changes of which upstreams leave.
     *
     * @return a number that differs after each change
     */
    long changes() {
        return changes;
    }
}
