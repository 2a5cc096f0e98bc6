package org.apricotstack.serving.publication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.PlatformFreshness;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.observe.DecisionLog;

/**
 * The newest configuration and upstreams that this router knows, from the platform or from peers.
 *
 * <p>An older document never replaces a newer one, whatever its source, and a document that cannot be decoded replaces
 * nothing.
 */
public final class PublishedState {

    private final PublicationDecoder reader;
    private final DecisionLog log;
    private final CurrentConfiguration configuration;
    private final UpstreamTable upstreams;
    private final PublishedEvacuations evacuations;
    private final OutlierDetector outlierDetector;
    private final EngineLoadTable loadTable;
    private final ListingNotifier listings;
    private final UpstreamDocuments upstreamDocuments = new UpstreamDocuments();
    private final PlatformFreshness freshness = new PlatformFreshness();
    private final RejectedDocuments rejected;
    private Consumer<UpstreamEntry> onUpstreamRemoved = ended -> {};
    private Consumer<UpstreamId> onDrainEnded = upstream -> {};
    private boolean upstreamsKnown;

    /**
     * Creates an empty state.
     *
     * @param reader decodes documents
     * @param upstreams receives the upstreams
     * @param outlierDetector drops the health records of removed upstreams
     * @param loadTable drops the load of removed engines
     * @param log receives changes
     */
    public PublishedState(
            PublicationDecoder reader,
            UpstreamTable upstreams,
            OutlierDetector outlierDetector,
            EngineLoadTable loadTable,
            DecisionLog log) {
        this.reader = new RejectingDecoder(reader);
        this.upstreams = upstreams;
        this.outlierDetector = outlierDetector;
        this.loadTable = loadTable;
        this.log = log;
        this.evacuations = new PublishedEvacuations(upstreams, log);
        this.listings = new ListingNotifier(upstreams);
        this.configuration = new CurrentConfiguration(this.reader, log);
        this.rejected = new RejectedDocuments(log);
    }

    /**
     * Sets the listener for upstreams that were removed or restarted.
     *
     * @param action receives the incarnation that ended, as it was last listed
     */
    public void onUpstreamRemoved(Consumer<UpstreamEntry> action) {
        onUpstreamRemoved = action;
    }

    /**
     * Sets the listener for upstreams that were listed as draining and now accept requests again.
     *
     * @param action receives the incarnation
     */
    public void onDrainEnded(Consumer<UpstreamId> action) {
        onDrainEnded = action;
    }

    /**
     * Sets the listener for new entries of upstreams.
     *
     * @param action receives each entry that is newer than the known one
     */
    public void onUpstreamListed(UpstreamListingListener action) {
        listings.listener(action);
    }

    /** Adds an action after each change of the configuration in force. */
    public void onConfigurationInForce(Runnable action) {
        configuration.onInForce(action);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or {@code null} before the first
     */
    public ServingConfiguration configuration() {
        return configuration.decoded();
    }

    /**
     * Returns the configuration as published.
     *
     * @return the document, or {@code null} before the first
     */
    public Publication configurationDocument() {
        return configuration.document();
    }

    /**
     * Returns the revision of the configuration in force.
     *
     * @return the platform's revision; 0 before the first
     */
    public long configurationRevision() {
        return configuration.revision();
    }

    /**
     * Returns the operators' version of the configuration in force.
     *
     * @return the version; 0 before the first
     */
    public long configurationVersion() {
        return configuration.version();
    }

    /**
     * Returns the revision up to which upstreams are known.
     *
     * @return the platform's revision; 0 if none are known
     */
    public long upstreamsRevision() {
        return upstreamsKnown ? upstreams.revision() : 0;
    }

    /**
     * Returns the upstreams as published.
     *
     * @return the documents
     */
    public List<Publication> upstreamDocuments() {
        return upstreamDocuments.all();
    }

    /**
     * Returns whether requests can be served.
     *
     * @return whether a configuration, upstreams and evacuations are known
     */
    public boolean complete() {
        return configuration.decoded() != null && upstreamsKnown && evacuations.complete();
    }

    /**
     * Returns the evacuations of data centres.
     *
     * @return the evacuations that this router knows
     */
    public PublishedEvacuations evacuations() {
        return evacuations;
    }

    /**
     * Returns how old this knowledge may be.
     *
     * @return the time up to which everything that was published is known
     */
    public PlatformFreshness freshness() {
        return freshness;
    }

    /**
     * Returns the number of documents that could not be decoded.
     *
     * @return documents since the start
     */
    public long rejected() {
        return rejected.count();
    }

    /**
     * Applies one document.
     *
     * @param document the document
     * @param source where it came from, for the log
     */
    public void apply(Publication document, String source) {
        try {
            if (document.isEvacuation()) {
                evacuations.apply(document, source);
            } else if (document.isConfiguration()) {
                configuration.apply(document, source);
            } else if (document.removed()) {
                upstreams.remove(document.upstream(), document.revision());
                rejected.accepted(document.upstream());
            } else {
                applyUpstream(document, source);
            }
        } catch (ApricotException e) {
            reject(document, source, e);
        }
        handleRemovedUpstreams(source);
    }

    /**
     * Rejects a document. One that describes an upstream may come from another writer, so it removes the upstream that
     * the document before it named.
     */
    private void reject(Publication document, String source, ApricotException problem) {
        if (!document.isConfiguration()) {
            if (upstreams.isListed(document.upstream())) {
                upstreams.remove(document.upstream(), document.revision());
            }
        }
        rejected.rejected(document, source, problem);
    }

    /** Applies an upstream if it is newer. */
    private void applyUpstream(Publication document, String source) {
        UpstreamEntry entry = reader.upstream(document);
        rejected.accepted(document.upstream());
        if (upstreams.put(entry)) {
            upstreamDocuments.put(document);
            log.line("upstream_listed")
                    .put("upstream", entry.id().value())
                    .put("incarnation", entry.id().incarnation())
                    .put("service", entry.service().value())
                    .put("address", entry.address().toString())
                    .put("draining", entry.draining())
                    .put("revision", Revisions.text(entry.revision()))
                    .put("source", source)
                    .write();
        }
    }

    /** Drops the state of upstreams that were removed or restarted, and notifies the listeners. */
    private void handleRemovedUpstreams(String source) {
        listings.update(upstreamsKnown);
        upstreams.takeServingAgain().forEach(onDrainEnded);
        for (UpstreamId doubted : upstreams.takeUnconfirmed()) {
            log.line("upstream_doubted")
                    .put("upstream", doubted.value())
                    .put("incarnation", doubted.incarnation())
                    .put("source", source)
                    .write();
        }
        List<UpstreamEntry> ended = upstreams.takeRemoved();
        for (UpstreamEntry entry : ended) {
            boolean startedAgain = upstreams.isListed(entry.id());
            if (!startedAgain) {
                upstreamDocuments.remove(entry.id().withoutIncarnation());
            }
            onUpstreamRemoved.accept(entry);
            log.line(startedAgain ? "upstream_started_again" : "upstream_gone")
                    .put("upstream", entry.id().value())
                    .put("incarnation", entry.id().incarnation())
                    .put("revision", Revisions.text(upstreams.revision()))
                    .put("source", source)
                    .write();
        }
        if (!ended.isEmpty()) {
            evictUnlisted();
        }
    }

    /** Drops the health records and load of unlisted incarnations, unless a request is still running there. */
    private void evictUnlisted() {
        outlierDetector.retain(id -> upstreams.find(id) != null);
        loadTable.retain(id -> upstreams.find(id) != null);
    }

    /**
     * Applies a complete list of upstreams; upstreams that are missing from it are removed.
     *
     * @param documents all upstreams
     * @param revision the platform's revision before the list was read
     * @param source where it came from, for the log
     * @param nowMillis the current time, in milliseconds
     */
    public void applyUpstreamSnapshot(List<Publication> documents, long revision, String source, long nowMillis) {
        rejected.retain(documents);
        List<UpstreamEntry> entries = new ArrayList<>();
        for (Publication document : documents) {
            try {
                entries.add(reader.upstream(document));
                rejected.accepted(document.upstream());
            } catch (ApricotException e) {
                reject(document, source, e);
            }
        }
        upstreams.replaceAll(entries, revision, nowMillis);
        documents.forEach(document -> upstreamDocuments.putIfSource(document, upstreams.listed(document.upstream())));
        upstreamsKnown = true;
        handleRemovedUpstreams(source);
        log.line("upstreams_read")
                .put("count", entries.size())
                .put("revision", Revisions.text(revision))
                .put("source", source)
                .write();
    }

    /**
     * Applies changes to the list of upstreams; upstreams that are not named are removed.
     *
     * @param changed the documents that are newer than what is known here
     * @param names all upstreams
     * @param revision the platform's revision up to which the list is complete
     * @param source where it came from, for the log
     * @param nowMillis the current time, in milliseconds
     * @return whether the list is complete; otherwise nothing was changed, and a full list is needed
     */
    public boolean applyUpstreamChanges(
            List<Publication> changed, Collection<UpstreamId> names, long revision, String source, long nowMillis) {
        Set<UpstreamId> included = new HashSet<>();
        changed.forEach(document -> included.add(document.upstream()));
        List<UpstreamEntry> entries = new ArrayList<>();
        for (UpstreamId name : names) {
            UpstreamEntry listed = upstreams.listed(name);
            if (listed == null && !included.contains(name)) {
                return false;
            }
            if (listed != null) {
                entries.add(listed);
            }
        }
        upstreams.recordHistory(revision, nowMillis);
        changed.forEach(document -> apply(document, source));
        for (UpstreamId name : included) {
            UpstreamEntry listed = upstreams.listed(name);
            if (listed != null) {
                entries.add(listed);
            }
        }
        upstreams.replaceAll(entries, revision, nowMillis);
        upstreams.changesKnownUpTo(revision);
        handleRemovedUpstreams(source);
        return true;
    }

    /**
     * Returns the number of listed upstreams.
     *
     * @return upstreams
     */
    public int upstreamsListed() {
        return upstreams.size();
    }

    /**
     * Records that all changes up to a revision are known.
     *
     * @param revision the platform's revision of the last change that a peer knew
     */
    public void changesKnownUpTo(long revision) {
        upstreams.changesKnownUpTo(revision);
    }

    /**
     * Removes upstreams that were still missing when the grace period after an outage ended.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void removeExpired(long nowMillis) {
        evacuations.expire(nowMillis);
        upstreams.removeExpired(nowMillis);
        handleRemovedUpstreams("lapse");
        evictUnlisted();
    }

    /**
     * Returns whether an incarnation was superseded, so that state updates about it are obsolete.
     *
     * @param id the incarnation
     * @return whether a later incarnation of the same upstream is known
     */
    public boolean isSuperseded(UpstreamId id) {
        return upstreams.hasRestarted(id);
    }

    /**
     * Records that the platform responds again after an outage.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void platformReturned(long nowMillis) {
        upstreams.platformReturned(nowMillis);
    }
}
