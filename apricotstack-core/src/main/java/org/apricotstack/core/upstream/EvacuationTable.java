package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.upstream.EvacuationChange.Kind;

/**
 * The data centres that the operators evacuate: their upstreams get no new requests until the evacuation is removed.
 *
 * <p>Puts and removals arrive from the platform and from other routers in any order; the later revision wins.
 *
 * <p>When the platform is restored from a backup, an evacuation that the backup lacks was lost rather than removed. It
 * stays in force for {@link #LOST_HOLD_MILLIS}, in which the operators can request it again. It ends after that time,
 * as an entry that does not exist cannot be removed. An evacuation that was removed but is listed in the backup is in
 * force again, as nothing distinguishes it from a new request.
 */
public final class EvacuationTable {

    /** Time for which an evacuation stays in force that the platform lost, in milliseconds. */
    public static final long LOST_HOLD_MILLIS = 60_000;

    /** Maximum number of removals to remember, so that delayed puts don't restore them. */
    private static final int MAX_REMOVALS = 1_000;

    private final Map<DataCentreId, Evacuation> inForce = new TreeMap<>();
    private final Map<DataCentreId, Removal> removals = new LinkedHashMap<>();
    private List<EvacuationChange> untakenChanges = new ArrayList<>();
    private final Map<DataCentreId, Long> lossHeldUntilMillis = new TreeMap<>();
    private long completeRevision;
    private long changes;

    /**
     * The end of an evacuation.
     *
     * @param revision the platform's revision of the removal, or of the list that lacked the evacuation
     * @param reported whether the platform reported the removal; otherwise a later list can contradict it
     */
    private record Removal(long revision, boolean reported) {

        /** Returns the later one; of two at the same revision, the reported one. */
        Removal latest(Removal other) {
            boolean otherWins = other.revision > revision || other.revision == revision && other.reported;
            return otherWins ? other : this;
        }
    }

    /**
     * Records an evacuation that the platform reported, unless a later list lacks it.
     *
     * @param dataCentre the data centre
     * @param revision the platform's revision of the request
     */
    public void put(DataCentreId dataCentre, long revision) {
        if (revision > completeRevision) {
            putIfNewer(dataCentre, revision);
        }
    }

    /** Records an evacuation unless a later request or removal is known. */
    private void putIfNewer(DataCentreId dataCentre, long revision) {
        Evacuation known = inForce.get(dataCentre);
        long newestRevision = known == null ? removalRevision(dataCentre) : known.revision();
        if (revision > newestRevision) {
            set(Evacuation.listed(dataCentre, revision), known);
        }
    }

    /** Returns the revision of the last known end of an evacuation; 0 if none is known. */
    private long removalRevision(DataCentreId dataCentre) {
        Removal removal = removals.get(dataCentre);
        return removal == null ? 0 : removal.revision();
    }

    /** Forgets an end that no removal was reported for if a list that is not older has the evacuation. */
    private void forgetContradicted(DataCentreId dataCentre, long listRevision) {
        Removal removal = removals.get(dataCentre);
        if (removal != null && !removal.reported() && listRevision >= removal.revision()) {
            removals.remove(dataCentre);
        }
    }

    /** Sets an evacuation that is in force. */
    private void set(Evacuation next, Evacuation known) {
        inForce.put(next.dataCentre(), next);
        if (known == null) {
            changed(Kind.BEGUN, next);
        }
    }

    /**
     * Records the removal of an evacuation.
     *
     * @param dataCentre the data centre
     * @param revision the platform's revision of the removal
     */
    public void remove(DataCentreId dataCentre, long revision) {
        remove(dataCentre, new Removal(revision, true));
    }

    /** Records the end of an evacuation unless a later request is known. */
    private void remove(DataCentreId dataCentre, Removal removal) {
        Evacuation known = inForce.get(dataCentre);
        if (known != null && known.revision() > removal.revision()) {
            return;
        }
        if (known != null) {
            end(known);
        }
        removals.merge(dataCentre, removal, Removal::latest);
        if (removals.size() > MAX_REMOVALS) {
            removals.remove(removals.keySet().iterator().next());
        }
    }

    /** Ends an evacuation. */
    private void end(Evacuation known) {
        inForce.remove(known.dataCentre());
        changed(Kind.ENDED, known);
    }

    /** Records a change. */
    private void changed(Kind kind, Evacuation evacuation) {
        untakenChanges.add(new EvacuationChange(kind, evacuation));
        changes++;
    }

    /**
     * Replaces the evacuations by a complete list; evacuations that are missing from it end, or are held if it belongs
     * to a later history of the platform.
     *
     * @param listed all evacuations, including those that another router holds
     * @param listRevision the platform's revision up to which the list is complete
     * @param nowMillis the time
     */
    public void replaceAll(Collection<Evacuation> listed, long listRevision, long nowMillis) {
        if (listRevision < completeRevision) {
            return;
        }
        Set<DataCentreId> present = new HashSet<>();
        for (Evacuation evacuation : listed) {
            if (evacuation.isListed()) {
                present.add(evacuation.dataCentre());
                forgetContradicted(evacuation.dataCentre(), listRevision);
                putIfNewer(evacuation.dataCentre(), evacuation.revision());
            } else {
                hold(evacuation);
            }
        }
        for (Evacuation known : List.copyOf(inForce.values())) {
            if (!present.contains(known.dataCentre()) && known.revision() <= listRevision) {
                endOrHold(known, listRevision, nowMillis);
            }
        }
        completeRevision = listRevision;
    }

    /** Takes over an evacuation that another router holds, unless something newer is known. */
    private void hold(Evacuation held) {
        Evacuation known = inForce.get(held.dataCentre());
        boolean isNew = known == null && held.revision() > removalRevision(held.dataCentre());
        if (isNew || known != null && known.isListed() && known.revision() <= held.revision()) {
            set(held, known);
            lossHeldUntilMillis.put(held.dataCentre(), held.heldUntilMillis());
        }
    }

    /** Ends an evacuation that a complete list lacks, unless the platform lost it. */
    private void endOrHold(Evacuation known, long listRevision, long nowMillis) {
        if (Revisions.history(listRevision) == Revisions.history(known.revision())) {
            remove(known.dataCentre(), new Removal(listRevision, false));
        } else if (known.isListed()) {
            Evacuation held = new Evacuation(known.dataCentre(), known.revision(), nowMillis + LOST_HOLD_MILLIS);
            inForce.put(known.dataCentre(), held);
            lossHeldUntilMillis.put(known.dataCentre(), held.heldUntilMillis());
            changed(Kind.LOST, held);
        }
    }

    /**
     * Returns the ends of evacuations that the platform lost, and that were requested again and removed while other
     * routers may still hold them.
     *
     * @return the evacuations, with the revision of the end
     */
    public List<Evacuation> removedAfterLoss() {
        return lossHeldUntilMillis.keySet().stream()
                .filter(dataCentre -> !isEvacuated(dataCentre) && removals.containsKey(dataCentre))
                .map(dataCentre -> Evacuation.listed(dataCentre, removalRevision(dataCentre)))
                .toList();
    }

    /**
     * Records the end of an evacuation that another router knows, see {@link #removedAfterLoss}.
     *
     * @param removed the evacuation, with the revision of the end
     */
    public void removeLost(Evacuation removed) {
        remove(removed.dataCentre(), new Removal(removed.revision(), false));
    }

    /**
     * Ends evacuations that the platform lost and that were not requested again.
     *
     * @param nowMillis the time
     */
    public void expire(long nowMillis) {
        lossHeldUntilMillis.values().removeIf(heldUntilMillis -> heldUntilMillis <= nowMillis);
        if (inForce.isEmpty()) {
            return;
        }
        for (Evacuation known : List.copyOf(inForce.values())) {
            if (!known.isListed() && known.heldUntilMillis() <= nowMillis) {
                remove(known.dataCentre(), new Removal(completeRevision, false));
            }
        }
    }

    /**
     * Tells whether a data centre is evacuated.
     *
     * @param dataCentre the data centre
     * @return whether its upstreams get no new requests
     */
    public boolean isEvacuated(DataCentreId dataCentre) {
        return !inForce.isEmpty() && inForce.containsKey(dataCentre);
    }

    /**
     * Tells whether no data centre is evacuated.
     *
     * @return whether the table is empty
     */
    public boolean isEmpty() {
        return inForce.isEmpty();
    }

    /**
     * Returns the evacuations in force.
     *
     * @return the evacuations, sorted by data centre
     */
    public List<Evacuation> all() {
        return List.copyOf(inForce.values());
    }

    /**
     * Returns the changes since the last call.
     *
     * @return the changes, in order
     */
    public List<EvacuationChange> takeChanges() {
        List<EvacuationChange> taken = untakenChanges;
        untakenChanges = new ArrayList<>();
        return taken;
    }

    /**
     * Returns a counter of changes to the set of evacuated data centres.
     *
     * @return a number that increases with each change
     */
    long changes() {
        return changes;
    }
}
