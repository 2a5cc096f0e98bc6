package org.apricotstack.serving.publication;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.observe.DecisionLog;

/**
 * The newest configuration that this router knows.
 *
 * <p>The operators' versions decide, not the platform's revisions: after the platform came back from an older copy an
 * older version has a greater revision, and a version that was in force once never goes back.
 */
final class CurrentConfiguration {

    private final PublicationDecoder reader;
    private final DecisionLog log;
    private ServingConfiguration decoded;
    private Publication document;
    private long notTakenRevision;

    /** Creates a state without a configuration. */
    CurrentConfiguration(PublicationDecoder reader, DecisionLog log) {
        this.reader = reader;
        this.log = log;
    }

    /** Returns the configuration; {@code null} before the first. */
    ServingConfiguration decoded() {
        return decoded;
    }

    /** Returns the configuration as published; {@code null} before the first. */
    Publication document() {
        return document;
    }

    /** Returns the platform's revision of it; 0 before the first. */
    long revision() {
        return document == null ? 0 : document.revision();
    }

    /** Returns the operators' version of it; 0 before the first. */
    long version() {
        return decoded == null ? 0 : decoded.version();
    }

    /**
     * Takes a configuration in if it is newer.
     *
     * @param read the document
     * @param source who brought it, for the log
     * @throws ApricotException if it cannot be decoded
     */
    void take(Publication read, String source) {
        boolean known = read.revision() == revision() || read.revision() == notTakenRevision;
        if (read.removed() || known || isOlderInItsHistory(read)) {
            return;
        }
        ServingConfiguration configuration = reader.configuration(read);
        boolean same = configuration.version() == version() && read.revision() < revision();
        if (configuration.version() < version() || same) {
            notTakenRevision = read.revision();
            write("configuration_not_taken", configuration, read, source);
            return;
        }
        decoded = configuration;
        document = read;
        write("configuration_in_force", configuration, read, source);
    }

    /** Tells whether a configuration was written before the one in force, in the same history. */
    private boolean isOlderInItsHistory(Publication read) {
        return Revisions.history(read.revision()) == Revisions.history(revision()) && read.revision() < revision();
    }

    /** Writes down what becomes of a configuration that was read. */
    private void write(String event, ServingConfiguration configuration, Publication read, String source) {
        log.line(event)
                .put("version", configuration.version())
                .put("revision", Revisions.text(read.revision()))
                .put("in_force", version())
                .put("source", source)
                .write();
    }
}
