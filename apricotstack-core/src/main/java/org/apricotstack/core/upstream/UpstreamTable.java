package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * The listed upstreams, kept through outages of the platform.
 *
 * <p>Entries expire while the platform is unavailable although the upstreams are alive, and are written again within
 * about two seconds of its return. Removing them at once would leave a service without upstreams. So an entry that is
 * missing from the first list after an outage is held for {@link #MISSING_GRACE_MILLIS}. An entry that is missing at
 * any other time, or whose removal is reported, is removed at once, as an upstream may also leave within those two
 * seconds.
 *
 * <p>When the platform is restored from a backup, entries that the backup lacks are held as after an outage. Upstreams
 * that had left but are listed in the backup receive no requests until they have renewed their entries or have stayed
 * listed for {@link UnconfirmedEntries#CONFIRMATION_MILLIS}.
 *
 * <p>Only the latest incarnation of an upstream is listed. Delayed updates of earlier incarnations, such as a late
 * heartbeat, are ignored.
 */
public final class UpstreamTable {

    /**
     * Time after the platform's return for which missing entries are held, in milliseconds; the platform specifies 2 s.
     */
    public static final long MISSING_GRACE_MILLIS = 2_200;

    private final Map<UpstreamId, UpstreamEntry> entries = new HashMap<>();
    private final Map<UpstreamId, Long> heldUntilMillis = new HashMap<>();
    private final Map<UpstreamId, Removal> removals = new HashMap<>();
    private final UnconfirmedEntries unconfirmed = new UnconfirmedEntries();
    private final DrainTable drains = new DrainTable();
    private List<UpstreamEntry> removed = new ArrayList<>();
    private List<UpstreamId> endedDrains = new ArrayList<>();
    private final EvacuationTable evacuations = new EvacuationTable();
    private final UsableUpstreams usable = new UsableUpstreams();
    private long revision;
    private long holdMissingUntilMillis = Long.MIN_VALUE;

    /**
     * The removal of an entry.
     *
     * @param incarnation the incarnation that was listed
     * @param revision the platform's revision of the removal
     */
    private record Removal(UpstreamId incarnation, long revision) {}

    /**
     * Records that the platform responds again after an outage.
     *
     * @param nowMillis the time
     */
    public void platformReturned(long nowMillis) {
        holdMissingUntilMillis = nowMillis + MISSING_GRACE_MILLIS;
    }

    /**
     * Records the history of the platform to which the next list belongs. The first list of a later history may be some
     * seconds old, so entries that it lacks are held.
     *
     * @param listRevision the platform's revision at the start of the list request
     * @param nowMillis the time
     */
    public void recordHistory(long listRevision, long nowMillis) {
        if (revision > 0 && Revisions.history(listRevision) > Revisions.history(revision)) {
            platformReturned(nowMillis);
        }
    }

    /**
     * Replaces all entries by a complete list.
     *
     * @param listed all entries
     * @param listRevision the platform's revision at the start of the list request
     * @param nowMillis the time
     * @return whether anything changed
     */
    public boolean replaceAll(Collection<UpstreamEntry> listed, long listRevision, long nowMillis) {
        if (listRevision < revision) {
            return false;
        }
        recordHistory(listRevision, nowMillis);
        Set<UpstreamId> present = new HashSet<>();
        boolean changed = false;
        for (UpstreamEntry entry : listed) {
            present.add(entry.id().withoutIncarnation());
            changed |= put(entry);
        }
        for (UpstreamId id : List.copyOf(entries.keySet())) {
            boolean missing = !present.contains(id) && entries.get(id).revision() <= listRevision;
            if (missing
                    && nowMillis < holdMissingUntilMillis
                    && !entries.get(id).draining()) {
                heldUntilMillis.putIfAbsent(id, holdMissingUntilMillis);
            } else if (missing) {
                changed |= remove(id, listRevision);
            }
        }
        return changed;
    }

    /**
     * Records that the table includes all changes up to a revision, because a peer that knew them sent its complete
     * list.
     *
     * @param knownRevision the platform's revision of the latest change known to the peer
     */
    public void changesKnownUpTo(long knownRevision) {
        revision = Math.max(revision, knownRevision);
    }

    /**
     * Adds or updates one entry. Entries that are older than the known one, or belong to an earlier incarnation, are
     * ignored.
     *
     * @param entry the entry
     * @return whether anything changed
     */
    public boolean put(UpstreamEntry entry) {
        UpstreamId name = entry.id().withoutIncarnation();
        UpstreamEntry known = entries.get(name);
        Removal removal = removals.get(name);
        if (isOutdated(entry, known, removal)) {
            if (known != null && known.revision() == entry.revision()) {
                heldUntilMillis.remove(name);
            }
            return false;
        }
        revision = Math.max(revision, entry.revision());
        if (known != null && known.id().isLaterIncarnationOf(entry.id())) {
            return false;
        }
        recordReplacement(known, removal, entry);
        entries.put(name, entry);
        heldUntilMillis.remove(name);
        removals.remove(name);
        usable.invalidate();
        return true;
    }

    /** Tells whether an entry is not newer than the known entry or removal of its upstream. */
    private static boolean isOutdated(UpstreamEntry entry, UpstreamEntry known, Removal removal) {
        return known != null && known.revision() >= entry.revision()
                || removal != null && removal.revision() >= entry.revision();
    }

    /** Updates the removed, unconfirmed and serving-again incarnations before a newer entry replaces the known one. */
    private void recordReplacement(UpstreamEntry known, Removal removal, UpstreamEntry newer) {
        UpstreamId incarnation = newer.id();
        if (known != null && !known.id().equals(incarnation)) {
            removed.add(known);
            unconfirmed.confirm(known.id());
            return;
        }
        boolean wasRemoved =
                known == null && removal != null && removal.incarnation().equals(incarnation);
        boolean hadLeft = wasRemoved || known != null && isDrainingOrUnconfirmed(known);
        unconfirmed.confirm(incarnation);
        if (!hadLeft || newer.draining()) {
            return;
        }
        long previousRevision = wasRemoved ? removal.revision() : known.revision();
        if (Revisions.history(newer.revision()) > Revisions.history(previousRevision)) {
            unconfirmed.add(incarnation);
        } else if (!wasRemoved) {
            endedDrains.add(incarnation);
        }
    }

    /**
     * Tells whether an entry is listed as draining, or is unconfirmed after the platform was restored from a backup.
     */
    private boolean isDrainingOrUnconfirmed(UpstreamEntry entry) {
        return entry.draining() || unconfirmed.contains(entry.id());
    }

    /**
     * Returns the incarnations that had left and are listed again because the platform was restored from a backup.
     *
     * @return the incarnations added since the last call
     */
    public List<UpstreamId> takeUnconfirmed() {
        return unconfirmed.takeAdded();
    }

    /**
     * Removes an entry.
     *
     * @param id the upstream, in any incarnation
     * @param removalRevision the platform's revision of the removal
     * @return whether anything changed
     */
    public boolean remove(UpstreamId id, long removalRevision) {
        UpstreamId name = id.withoutIncarnation();
        UpstreamEntry known = entries.get(name);
        revision = Math.max(revision, removalRevision);
        if (known == null || known.revision() > removalRevision) {
            return false;
        }
        removed.add(entries.remove(name));
        heldUntilMillis.remove(name);
        unconfirmed.confirm(known.id());
        removals.put(name, new Removal(known.id(), removalRevision));
        usable.invalidate();
        return true;
    }

    /**
     * Removes held entries that were not written again, and confirms entries that stayed listed.
     *
     * @param nowMillis the time
     */
    public void removeExpired(long nowMillis) {
        boolean dropped = false;
        for (Iterator<Map.Entry<UpstreamId, Long>> it =
                        heldUntilMillis.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<UpstreamId, Long> held = it.next();
            if (held.getValue() <= nowMillis) {
                it.remove();
                removed.add(entries.remove(held.getKey()));
                dropped = true;
            }
        }
        dropped |= unconfirmed.confirmExpired(nowMillis);
        if (dropped) {
            usable.invalidate();
        }
    }

    /**
     * Returns the number of listed upstreams, including draining ones and those held after an outage.
     *
     * @return number of upstreams
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns the entry of the listed incarnation of an upstream.
     *
     * @param name the upstream, in any incarnation
     * @return the entry; {@code null} if the upstream is not listed
     */
    public UpstreamEntry listed(UpstreamId name) {
        return entries.get(name.withoutIncarnation());
    }

    /**
     * Returns the incarnations that are no longer listed, because the upstream was removed or restarted.
     *
     * @return the last entries of the incarnations removed since the last call
     */
    public List<UpstreamEntry> takeRemoved() {
        List<UpstreamEntry> taken = removed;
        removed = new ArrayList<>();
        return taken;
    }

    /**
     * Returns the incarnations that were listed as draining and are listed as serving again.
     *
     * @return the incarnations added since the last call
     */
    public List<UpstreamId> takeServingAgain() {
        List<UpstreamId> taken = endedDrains;
        endedDrains = new ArrayList<>();
        return taken;
    }

    /** Tells whether an upstream accepts new requests. */
    private boolean isUsable(UpstreamEntry entry) {
        return !isDrainingOrUnconfirmed(entry) && !drains.isDraining(entry.id()) && !isEvacuated(entry);
    }

    /**
     * Tells whether the operators evacuate the data centre of an upstream.
     *
     * @param entry the upstream
     * @return whether it gets no new requests
     */
    public boolean isEvacuated(UpstreamEntry entry) {
        return evacuations.isEvacuated(entry.dataCentre());
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param service the service
     * @return the entries, sorted by id
     */
    public List<UpstreamEntry> usable(ServiceId service) {
        return usable.of(service, entries.values(), this::isUsable, drains.changes() + evacuations.changes());
    }

    /**
     * Returns the entry of one incarnation of an upstream.
     *
     * @param id the incarnation
     * @return the entry; {@code null} if this incarnation is not listed
     */
    public UpstreamEntry find(UpstreamId id) {
        UpstreamEntry entry = entries.get(id.withoutIncarnation());
        return entry != null && entry.id().equals(id) ? entry : null;
    }

    /**
     * Tells whether an upstream is listed.
     *
     * @param id the upstream, in any incarnation
     * @return whether any incarnation of it is listed
     */
    public boolean isListed(UpstreamId id) {
        return entries.containsKey(id.withoutIncarnation());
    }

    /**
     * Tells whether an upstream is known to have restarted.
     *
     * @param id an incarnation
     * @return whether a later incarnation is listed, so that the requests of this one are lost
     */
    public boolean hasRestarted(UpstreamId id) {
        UpstreamEntry entry = entries.get(id.withoutIncarnation());
        return entry != null && entry.id().isLaterIncarnationOf(id);
    }

    /**
     * Tells whether an incarnation of an upstream is draining, according to the platform's list or to its responses.
     *
     * @param id the incarnation
     * @return whether it accepts no new requests
     */
    public boolean isDraining(UpstreamId id) {
        UpstreamEntry entry = find(id);
        return entry != null && entry.draining() || drains.isDraining(id) || unconfirmed.contains(id);
    }

    /**
     * Lists the draining upstreams of a service.
     *
     * @param service the service
     * @return the entries, in no particular order
     */
    public List<UpstreamEntry> draining(ServiceId service) {
        return entries.values().stream()
                .filter(entry -> entry.service().equals(service) && isDraining(entry.id()))
                .toList();
    }

    /**
     * Returns the drains that upstreams announced in their responses.
     *
     * @return the drains
     */
    public DrainTable drains() {
        return drains;
    }

    /**
     * Returns the evacuations of data centres.
     *
     * @return the evacuations
     */
    public EvacuationTable evacuations() {
        return evacuations;
    }

    /**
     * Returns all entries, including those of draining upstreams.
     *
     * @return the entries
     */
    public Collection<UpstreamEntry> all() {
        return List.copyOf(entries.values());
    }

    /**
     * Returns the revision of the latest change in this table; routers with the same entries have the same revision.
     *
     * @return the platform's revision; 0 before the first list
     */
    public long revision() {
        return revision;
    }
}
