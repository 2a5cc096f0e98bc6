package org.apricotstack.serving.publication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.google.common.base.Ascii;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.observe.DecisionLog;

/**
 * The newest configuration and upstreams that this router knows, from the platform or from peers.
 *
 * <p>An older document never replaces a newer one, whoever brings it, and one that cannot be decoded replaces nothing.
 */
public final class PublishedState {

    /** Names of rejected documents that are remembered, so that each is written down once; bounds the memory. */
    private static final int MOST_REJECTED = 256;

    /** Longest problem that is written down, in characters: a foreign document may be quoted in it. */
    private static final int MOST_PROBLEM_LETTERS = 200;

    private final PublicationDecoder reader;
    private final DecisionLog log;
    private final CurrentConfiguration configuration;
    private final UpstreamTable upstreams;
    private final OutlierDetector judge;
    private final EngineLoadTable board;
    private final Map<UpstreamId, Publication> upstreamDocuments = new HashMap<>();
    private final Set<UpstreamId> rejectedUpstreams = new HashSet<>();
    private Consumer<UpstreamEntry> whenEnded = ended -> {};
    private Consumer<UpstreamId> whenServingAgain = upstream -> {};
    private boolean upstreamsKnown;
    private long rejected;

    /**
     * Creates an empty state.
     *
     * @param reader decodes documents
     * @param upstreams takes the upstreams
     * @param judge forgets upstreams that are gone
     * @param board forgets engines that are gone
     * @param log takes changes
     */
    public PublishedState(
            PublicationDecoder reader,
            UpstreamTable upstreams,
            OutlierDetector judge,
            EngineLoadTable board,
            DecisionLog log) {
        this.reader = reader;
        this.upstreams = upstreams;
        this.judge = judge;
        this.board = board;
        this.log = log;
        this.configuration = new CurrentConfiguration(reader, log);
    }

    /**
     * Sets what is done when an upstream is gone or has started again.
     *
     * @param action takes the start that is over, as it was last listed
     */
    public void whenEnded(Consumer<UpstreamEntry> action) {
        whenEnded = action;
    }

    /**
     * Sets what is done when an upstream that was listed as leaving is listed as taking requests.
     *
     * @param action takes the start
     */
    public void whenServingAgain(Consumer<UpstreamId> action) {
        whenServingAgain = action;
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
        return List.copyOf(upstreamDocuments.values());
    }

    /**
     * Tells whether requests can be served.
     *
     * @return whether a configuration and upstreams are known
     */
    public boolean complete() {
        return configuration.decoded() != null && upstreamsKnown;
    }

    /**
     * Returns how many documents could not be decoded.
     *
     * @return documents since the start
     */
    public long rejected() {
        return rejected;
    }

    /**
     * Takes one document in.
     *
     * @param document the document
     * @param source who brought it, for the log
     */
    public void take(Publication document, String source) {
        try {
            if (document.isConfiguration()) {
                configuration.take(document, source);
            } else if (document.removed()) {
                upstreams.remove(document.upstream(), document.revision());
                rejectedUpstreams.remove(document.upstream());
            } else {
                takeUpstream(document, source);
            }
        } catch (ApricotException e) {
            reject(document, source, e);
        }
        forgetEnded(source);
    }

    /**
     * Counts and writes down a document that cannot be used. One that describes an upstream may come from another
     * writer, so it names no upstream from now on, not even the one that the document before it named. It is written
     * down once until a sound one follows, as everything is read again after each fault of the platform.
     */
    private void reject(Publication document, String source, ApricotException problem) {
        rejected++;
        if (!document.isConfiguration()) {
            upstreams.remove(document.upstream(), document.revision());
            if (rejectedUpstreams.size() >= MOST_REJECTED || !rejectedUpstreams.add(document.upstream())) {
                return;
            }
        }
        log.line("document_rejected")
                .put(
                        "document",
                        document.isConfiguration()
                                ? "configuration"
                                : document.upstream().value())
                .put("revision", Revisions.text(document.revision()))
                .put("source", source)
                .put("problem", Ascii.truncate(problem.getMessage(), MOST_PROBLEM_LETTERS, "..."))
                .write();
    }

    /** Takes an upstream in if it is newer. */
    private void takeUpstream(Publication document, String source) {
        UpstreamEntry entry = reader.upstream(document);
        rejectedUpstreams.remove(document.upstream());
        if (upstreams.put(entry)) {
            upstreamDocuments.put(document.upstream(), document);
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

    /** Forgets what is kept of upstreams that are gone or have started again. */
    private void forgetEnded(String source) {
        upstreams.takeServingAgain().forEach(whenServingAgain);
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
            whenEnded.accept(entry);
            log.line(startedAgain ? "upstream_started_again" : "upstream_gone")
                    .put("upstream", entry.id().value())
                    .put("incarnation", entry.id().incarnation())
                    .put("revision", Revisions.text(upstreams.revision()))
                    .put("source", source)
                    .write();
        }
        if (!ended.isEmpty()) {
            forgetUnlisted();
        }
    }

    /** Drops what is believed of starts that are not listed, unless something runs there. */
    private void forgetUnlisted() {
        judge.retain(id -> upstreams.find(id) != null);
        board.retain(id -> upstreams.find(id) != null);
    }

    /**
     * Takes a whole list of upstreams in; listed ones that are missing from it are gone.
     *
     * @param documents all upstreams
     * @param revision the platform's revision before the list was read
     * @param source who brought it, for the log
     * @param nowMillis the time
     */
    public void takeAllUpstreams(List<Publication> documents, long revision, String source, long nowMillis) {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (Publication document : documents) {
            try {
                entries.add(reader.upstream(document));
                rejectedUpstreams.remove(document.upstream());
            } catch (ApricotException e) {
                reject(document, source, e);
            }
        }
        upstreams.replaceAll(entries, revision, nowMillis);
        documents.forEach(this::keepIfListed);
        upstreamsKnown = true;
        forgetEnded(source);
        log.line("upstreams_read")
                .put("count", entries.size())
                .put("revision", Revisions.text(revision))
                .put("source", source)
                .write();
    }

    /** Keeps a document for other routers if the entry that is listed comes from it. */
    private void keepIfListed(Publication document) {
        UpstreamEntry listed = upstreams.listed(document.upstream());
        if (listed != null && listed.revision() == document.revision()) {
            upstreamDocuments.put(document.upstream(), document);
        }
    }

    /**
     * Takes in what changed of the list of upstreams; listed ones that are not named are gone.
     *
     * @param changed the documents that are newer than what is known here
     * @param names all upstreams
     * @param revision the platform's revision up to which the list is complete
     * @param source who brought it, for the log
     * @param nowMillis the time
     * @return whether the list could be put together; otherwise nothing changed, and the whole list is needed
     */
    public boolean takeChangedUpstreams(
            List<Publication> changed, Collection<UpstreamId> names, long revision, String source, long nowMillis) {
        Set<UpstreamId> brought = new HashSet<>();
        changed.forEach(document -> brought.add(document.upstream()));
        List<UpstreamEntry> entries = new ArrayList<>();
        for (UpstreamId name : names) {
            UpstreamEntry listed = upstreams.listed(name);
            if (listed == null && !brought.contains(name)) {
                return false;
            }
            if (listed != null) {
                entries.add(listed);
            }
        }
        upstreams.noteHistory(revision, nowMillis);
        changed.forEach(document -> take(document, source));
        for (UpstreamId name : brought) {
            UpstreamEntry listed = upstreams.listed(name);
            if (listed != null) {
                entries.add(listed);
            }
        }
        upstreams.replaceAll(entries, revision, nowMillis);
        upstreams.caughtUp(revision);
        forgetEnded(source);
        return true;
    }

    /**
     * Returns how many upstreams are listed.
     *
     * @return upstreams
     */
    public int upstreamsListed() {
        return upstreams.size();
    }

    /**
     * Notes that all changes up to a revision are known.
     *
     * @param revision the platform's revision of the last change that a peer knew
     */
    public void caughtUp(long revision) {
        upstreams.caughtUp(revision);
    }

    /**
     * Takes off upstreams that did not come back after an outage.
     *
     * @param nowMillis the time
     */
    public void removeExpired(long nowMillis) {
        upstreams.removeExpired(nowMillis);
        forgetEnded("lapse");
        forgetUnlisted();
    }

    /**
     * Tells whether a start of an upstream is over, so that news of it mean nothing.
     *
     * @param id the start
     * @return whether a later start of the same upstream is known
     */
    public boolean isOver(UpstreamId id) {
        return upstreams.hasRestarted(id);
    }

    /**
     * Notes that the platform answers again.
     *
     * @param nowMillis the time
     */
    public void platformReturned(long nowMillis) {
        upstreams.platformReturned(nowMillis);
    }
}
