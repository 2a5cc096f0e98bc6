package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * Upstreams that had left and are listed again because the platform was restored from a backup.
 *
 * <p>Entries that are not renewed expire on the platform, so an entry that stays listed is confirmed after {@link
 * #CONFIRMATION_MILLIS}.
 */
final class UnconfirmedEntries {

    /**
     * Time after which an entry that is still listed is confirmed, in milliseconds. The platform removes entries that
     * were not renewed for three heartbeats of 1.2 seconds.
     */
    static final long CONFIRMATION_MILLIS = 5_000;

    /**
     * Time at which each entry is confirmed; {@link Long#MAX_VALUE} until the first call of {@link #confirmExpired}.
     */
    private final Map<UpstreamId, Long> untilMillis = new HashMap<>();

    private List<UpstreamId> added = new ArrayList<>();

    /** Creates an empty collection. */
    UnconfirmedEntries() {}

    /** Adds the entry of an incarnation. */
    void add(UpstreamId incarnation) {
        untilMillis.put(incarnation, Long.MAX_VALUE);
        added.add(incarnation);
    }

    /** Confirms the entry of an incarnation. */
    void confirm(UpstreamId incarnation) {
        untilMillis.remove(incarnation);
    }

    /** Tells whether the entry of an incarnation is unconfirmed. */
    boolean contains(UpstreamId incarnation) {
        return !untilMillis.isEmpty() && untilMillis.containsKey(incarnation);
    }

    /** Confirms entries that have been listed for {@link #CONFIRMATION_MILLIS}; returns whether there were any. */
    boolean confirmExpired(long nowMillis) {
        if (untilMillis.isEmpty()) {
            return false;
        }
        untilMillis.replaceAll(
                (incarnation, until) -> until == Long.MAX_VALUE ? nowMillis + CONFIRMATION_MILLIS : until);
        return untilMillis.values().removeIf(until -> until <= nowMillis);
    }

    /** Returns the incarnations that were added since the last call. */
    List<UpstreamId> takeAdded() {
        List<UpstreamId> taken = added;
        added = new ArrayList<>();
        return taken;
    }
}
