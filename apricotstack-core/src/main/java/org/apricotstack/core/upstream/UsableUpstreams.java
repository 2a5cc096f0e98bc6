package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.apricotstack.core.id.ServiceId;

/** The upstreams of each service that accept new requests, listed again only after a change. */
final class UsableUpstreams {

    private Map<ServiceId, List<UpstreamEntry>> byService;
    private long listedAtChange;

    /** Creates lists that have to be made first. */
    UsableUpstreams() {}

    /** Records that entries changed. */
    void invalidate() {
        byService = null;
    }

    /**
     * Returns the usable upstreams of a service, sorted by id, so that all routers use the same order.
     *
     * @param service the service
     * @param entries all listed upstreams
     * @param isUsable tells whether an upstream accepts new requests
     * @param change a number that increases when the answers of {@code isUsable} change
     */
    List<UpstreamEntry> of(
            ServiceId service, Collection<UpstreamEntry> entries, Predicate<UpstreamEntry> isUsable, long change) {
        if (byService == null || listedAtChange != change) {
            byService = list(entries, isUsable);
            listedAtChange = change;
        }
        return byService.getOrDefault(service, List.of());
    }

    /** Lists the usable upstreams by service. */
    private static Map<ServiceId, List<UpstreamEntry>> list(
            Collection<UpstreamEntry> entries, Predicate<UpstreamEntry> isUsable) {
        Map<ServiceId, List<UpstreamEntry>> lists = new TreeMap<>();
        for (UpstreamEntry entry : entries) {
            if (isUsable.test(entry)) {
                lists.computeIfAbsent(entry.service(), service -> new ArrayList<>())
                        .add(entry);
            }
        }
        lists.values().forEach(list -> list.sort(Comparator.comparing(UpstreamEntry::id)));
        return lists;
    }
}
