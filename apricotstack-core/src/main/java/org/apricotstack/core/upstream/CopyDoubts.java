package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * Upstreams that had left and are listed again only as the platform came back from an older copy.
 *
 * <p>An entry that nobody renews is taken off the list by itself, so one that stays is believed after a while.
 */
final class CopyDoubts {

    /**
     * Time after which an entry is believed, in milliseconds: the platform takes one off that has not been renewed for
     * three heartbeats of 1.2 seconds.
     */
    static final long DOUBT_MILLIS = 5_000;

    /** When each entry is believed; {@link Long#MAX_VALUE} until the next look. */
    private final Map<UpstreamId, Long> untilMillis = new HashMap<>();

    private List<UpstreamId> begun = new ArrayList<>();

    /** Creates doubts of nothing. */
    CopyDoubts() {}

    /** Doubts the entry of a start. */
    void doubt(UpstreamId start) {
        untilMillis.put(start, Long.MAX_VALUE);
        begun.add(start);
    }

    /** Believes what is listed of a start. */
    void believe(UpstreamId start) {
        untilMillis.remove(start);
    }

    /** Tells whether the entry of a start is doubted. */
    boolean isDoubted(UpstreamId start) {
        return !untilMillis.isEmpty() && untilMillis.containsKey(start);
    }

    /** Believes entries that have been listed for long enough; tells whether there are any. */
    boolean drop(long nowMillis) {
        if (untilMillis.isEmpty()) {
            return false;
        }
        untilMillis.replaceAll((start, until) -> until == Long.MAX_VALUE ? nowMillis + DOUBT_MILLIS : until);
        return untilMillis.values().removeIf(until -> until <= nowMillis);
    }

    /** Hands over the starts whose entries began to be doubted, each once. */
    List<UpstreamId> takeBegun() {
        List<UpstreamId> taken = begun;
        begun = new ArrayList<>();
        return taken;
    }
}
