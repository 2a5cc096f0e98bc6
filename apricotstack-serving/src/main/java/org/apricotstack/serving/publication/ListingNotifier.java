package org.apricotstack.serving.publication;

import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;

/** Passes each new entry of an upstream to a listener once. */
final class ListingNotifier {

    /** Maximum number of upstreams to remember, so that one which is listed again does not count as started. */
    private static final int MAX_REMEMBERED = 4_096;

    private final UpstreamTable upstreams;
    private final Map<UpstreamId, UpstreamEntry> notified = new LinkedHashMap<>();
    private UpstreamListingListener listener = (entry, started) -> {};
    private boolean firstListKnown;

    /** Creates a notifier without a listener. */
    ListingNotifier(UpstreamTable upstreams) {
        this.upstreams = upstreams;
    }

    /** Sets the listener. */
    void listener(UpstreamListingListener action) {
        listener = action;
    }

    /** Passes on the new entries; the argument says whether a complete list has been applied. */
    void update(boolean listKnown) {
        for (UpstreamEntry entry : upstreams.all()) {
            UpstreamEntry before = notified.get(entry.id().withoutIncarnation());
            if (before == null || before.revision() < entry.revision()) {
                notified.put(entry.id().withoutIncarnation(), entry);
                boolean started = before == null || entry.id().isLaterIncarnationOf(before.id());
                listener.listed(entry, firstListKnown && started);
            }
        }
        while (notified.size() > MAX_REMEMBERED) {
            notified.remove(notified.keySet().iterator().next());
        }
        firstListKnown |= listKnown;
    }
}
