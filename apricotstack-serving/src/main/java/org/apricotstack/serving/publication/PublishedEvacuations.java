package org.apricotstack.serving.publication;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

import org.apricotstack.core.upstream.Evacuation;
import org.apricotstack.core.upstream.EvacuationChange;
import org.apricotstack.core.upstream.EvacuationTable;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.observe.DecisionLog;

/** The evacuations of data centres that this router knows, from the platform or from peers. */
public final class PublishedEvacuations {

    private final UpstreamTable upstreams;
    private final DecisionLog log;
    private Consumer<List<Evacuation>> onChange = inForce -> {};
    private boolean followed;
    private boolean known;
    private long completeRevision;

    /**
     * Creates evacuations that are not followed.
     *
     * @param upstreams holds the evacuations in force
     * @param log receives changes
     */
    PublishedEvacuations(UpstreamTable upstreams, DecisionLog log) {
        this.upstreams = upstreams;
        this.log = log;
    }

    /**
     * Sets whether evacuations are followed; otherwise they are ignored, whatever their source.
     *
     * @param follow whether the settings require evacuations
     */
    public void follow(boolean follow) {
        followed = follow;
    }

    /**
     * Sets the listener for changes.
     *
     * @param action receives the evacuations in force
     */
    public void onChange(Consumer<List<Evacuation>> action) {
        onChange = action;
    }

    /**
     * Returns whether requests can be served without breaking an evacuation that is not known yet.
     *
     * @return {@code true} after the first list, and if evacuations are not followed
     */
    public boolean complete() {
        return known || !followed;
    }

    /**
     * Returns the revision up to which all evacuations are known. Lists of routers that do not follow evacuations raise
     * the revision of the upstreams, but not this one.
     *
     * @return the platform's revision; 0 before the first list, and if evacuations are not followed
     */
    public long completeRevision() {
        return known ? completeRevision : 0;
    }

    /**
     * Returns the evacuations in force.
     *
     * @return the evacuations, sorted by data centre
     */
    public List<Evacuation> all() {
        return table().all();
    }

    /** Returns the table of evacuations. */
    private EvacuationTable table() {
        return upstreams.evacuations();
    }

    /** Applies one change that the platform reported. */
    void apply(Publication document, String source) {
        if (!followed) {
            return;
        }
        if (document.removed()) {
            table().remove(document.evacuated(), document.revision());
        } else {
            table().put(document.evacuated(), document.revision());
        }
        completeRevision = Math.max(completeRevision, document.revision());
        upstreams.changesKnownUpTo(document.revision());
        reportChanges(source);
    }

    /**
     * Applies a complete list of the platform.
     *
     * @param documents all evacuations
     * @param revision the platform's revision before the list of upstreams was read, which came first
     * @param source where it came from, for the log
     * @param nowMillis the current time, in milliseconds
     */
    public void applySnapshot(List<Publication> documents, long revision, String source, long nowMillis) {
        List<Evacuation> listed = documents.stream()
                .map(document -> Evacuation.listed(document.evacuated(), document.revision()))
                .toList();
        List<Evacuation> before = table().all();
        receive(listed, revision, source, nowMillis);
        if (!followed) {
            return;
        }
        // A change of history is recognized by the revision of the upstreams, which is raised before their list comes.
        upstreams.recordHistory(revision, nowMillis);
        // The watch reports evacuations that are newer than the list of upstreams again; only then is the table of
        // upstreams complete up to their revision.
        listed.stream()
                .mapToLong(Evacuation::revision)
                .filter(entryRevision -> entryRevision <= revision)
                .forEach(upstreams::changesKnownUpTo);
        if (before.stream().anyMatch(known -> !table().isEvacuated(known.dataCentre()))) {
            upstreams.changesKnownUpTo(revision);
        }
    }

    /**
     * Applies a complete list of another router.
     *
     * @param listed all evacuations in force there
     * @param revision the platform's revision up to which the list is complete
     * @param source where it came from, for the log
     * @param nowMillis the current time, in milliseconds
     */
    public void receive(Collection<Evacuation> listed, long revision, String source, long nowMillis) {
        if (followed) {
            table().replaceAll(listed, revision, nowMillis);
            completeRevision = Math.max(completeRevision, revision);
            reportChanges(source);
            known = true;
        }
    }

    /**
     * Returns the ends of evacuations that the platform lost and that other routers may still hold.
     *
     * @return the evacuations, with the revision of the end
     */
    public List<Evacuation> removedAfterLoss() {
        return table().removedAfterLoss();
    }

    /**
     * Applies the ends of evacuations that the platform lost; the list of the same router follows.
     *
     * @param removed the evacuations, with the revision of the end
     */
    public void receiveRemoved(Collection<Evacuation> removed) {
        if (followed) {
            removed.forEach(table()::removeLost);
        }
    }

    /** Ends evacuations that the platform lost and that were not requested again in time. */
    void expire(long nowMillis) {
        table().expire(nowMillis);
        reportChanges("lapse");
    }

    /** Logs the changes and notifies the listener. */
    private void reportChanges(String source) {
        List<EvacuationChange> changes = table().takeChanges();
        if (changes.isEmpty()) {
            return;
        }
        for (EvacuationChange change : changes) {
            log.line("evacuation_" + change.kind().code())
                    .put("data_centre", change.evacuation().dataCentre().value())
                    .put("requested", Revisions.text(change.evacuation().revision()))
                    .put("source", source)
                    .write();
        }
        onChange.accept(table().all());
    }
}
