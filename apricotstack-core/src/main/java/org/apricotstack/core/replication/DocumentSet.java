package org.apricotstack.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An immutable version of a set of documents. It records a bounded number of removals, so that it can compute the
 * changes since an earlier version.
 */
public final class DocumentSet {

    /** The set before anything was published. */
    public static final DocumentSet EMPTY = new DocumentSet(0, new TreeMap<>(), Map.of(), 0);

    /** Maximum number of recorded removals; a receiver that lacks older ones needs a full transfer. */
    private static final int MAX_REMOVALS = 1_000;

    private final long version;
    private final SortedMap<String, Document> documents;
    private final Map<String, Long> removals;
    private final long removalsCompleteSince;

    /** Creates a version; the maps are not copied. */
    private DocumentSet(
            long version,
            SortedMap<String, Document> documents,
            Map<String, Long> removals,
            long removalsCompleteSince) {
        this.version = version;
        this.documents = documents;
        this.removals = removals;
        this.removalsCompleteSince = removalsCompleteSince;
    }

    /**
     * Returns the version.
     *
     * @return the version; 0 before anything was published
     */
    public long version() {
        return version;
    }

    /**
     * Returns the documents by key.
     *
     * @return an unmodifiable view
     */
    public SortedMap<String, Document> documents() {
        return Collections.unmodifiableSortedMap(documents);
    }

    /**
     * Applies a delta.
     *
     * @param delta the changes, which must start at or before this version and end after it
     * @return the new version
     */
    public DocumentSet with(DocumentDelta delta) {
        SortedMap<String, Document> next = delta.full() ? new TreeMap<>() : new TreeMap<>(documents);
        for (Document document : delta.changed()) {
            next.merge(document.key(), document, (old, newer) -> newer.version() >= old.version() ? newer : old);
        }
        if (delta.full()) {
            return new DocumentSet(delta.to(), next, Map.of(), delta.to());
        }
        Map<String, Long> nextRemovals = new HashMap<>(removals);
        delta.removed().forEach((key, removedVersion) -> {
            Document kept = next.get(key);
            if (kept == null || kept.version() < removedVersion) {
                next.remove(key);
                nextRemovals.merge(key, removedVersion, Math::max);
            }
        });
        long completeSince = dropOldRemovals(nextRemovals);
        return new DocumentSet(delta.to(), next, nextRemovals, completeSince);
    }

    /** Drops the oldest removals beyond the limit and returns the version since which all removals are recorded. */
    private long dropOldRemovals(Map<String, Long> nextRemovals) {
        if (nextRemovals.size() <= MAX_REMOVALS) {
            return removalsCompleteSince;
        }
        List<Long> versions = new ArrayList<>(nextRemovals.values());
        Collections.sort(versions);
        long droppedVersion = versions.get(versions.size() - MAX_REMOVALS / 2);
        nextRemovals.values().removeIf(removedVersion -> removedVersion <= droppedVersion);
        return Math.max(removalsCompleteSince, droppedVersion);
    }

    /**
     * Returns the changes since a version.
     *
     * @param since the version that the receiver has
     * @return the delta; the complete set if the individual changes since then are not recorded
     */
    public DocumentDelta since(long since) {
        if (since < removalsCompleteSince || since == 0) {
            return new DocumentDelta(0, version, true, List.copyOf(documents.values()), Map.of());
        }
        List<Document> changed =
                documents.values().stream().filter(d -> d.version() > since).toList();
        Map<String, Long> removed = new TreeMap<>();
        removals.forEach((key, removedVersion) -> {
            if (removedVersion > since) {
                removed.put(key, removedVersion);
            }
        });
        return new DocumentDelta(since, version, false, changed, removed);
    }
}
