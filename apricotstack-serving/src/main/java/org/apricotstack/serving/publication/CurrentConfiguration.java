package org.apricotstack.serving.publication;

import com.google.common.base.Ascii;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.observe.DecisionLog;

/**
 * The newest configuration that this router knows.
 *
 * <p>The operators' version decides which one is newer, not the platform's revision: after the platform is restored
 * from an older backup, an older version can have a higher revision. A version that has been in force is never rolled
 * back.
 */
final class CurrentConfiguration {

    /** Maximum number of unusable parts of one configuration that are logged. */
    private static final int MAX_LOGGED_PARTS = 16;

    /** Maximum length of a logged problem, in characters; it may quote the document. */
    private static final int MAX_PROBLEM_LENGTH = 200;

    private final PublicationDecoder reader;
    private final DecisionLog log;
    private ServingConfiguration decoded;
    private Publication document;
    private long ignoredRevision;
    private Runnable onInForce = () -> {};

    /** Creates a holder without a configuration. */
    CurrentConfiguration(PublicationDecoder reader, DecisionLog log) {
        this.reader = reader;
        this.log = log;
    }

    /** Adds an action after each change of the configuration. */
    void onInForce(Runnable action) {
        Runnable previous = onInForce;
        onInForce = () -> {
            previous.run();
            action.run();
        };
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
     * Puts a configuration into force if it is newer.
     *
     * @param read the document
     * @param source where it came from, for the log
     * @throws ApricotException if it cannot be decoded
     */
    void apply(Publication read, String source) {
        boolean known = read.revision() == revision() || read.revision() == ignoredRevision;
        if (read.removed() || known || isOlderInSameHistory(read)) {
            return;
        }
        ServingConfiguration configuration = reader.configuration(read);
        boolean same = configuration.version() == version() && read.revision() < revision();
        if (configuration.version() < version() || same) {
            ignoredRevision = read.revision();
            write("configuration_not_taken", configuration, read, source);
            return;
        }
        decoded = configuration;
        document = read;
        write("configuration_in_force", configuration, read, source);
        writeUnusableParts();
        onInForce.run();
    }

    /** Returns whether a configuration has a lower revision than the one in force, in the same history. */
    private boolean isOlderInSameHistory(Publication read) {
        return Revisions.history(read.revision()) == Revisions.history(revision()) && read.revision() < revision();
    }

    /** Logs the parts of the configuration in force that cannot be used. */
    private void writeUnusableParts() {
        decoded.unusableParts().stream().limit(MAX_LOGGED_PARTS).forEach(part -> log.line("configuration_part_unusable")
                .put("version", version())
                .put("problem", Ascii.truncate(part, MAX_PROBLEM_LENGTH, "..."))
                .write());
    }

    /** Logs whether a configuration was put into force. */
    private void write(String event, ServingConfiguration configuration, Publication read, String source) {
        log.line(event)
                .put("version", configuration.version())
                .put("revision", Revisions.text(read.revision()))
                .put("in_force", version())
                .put("source", source)
                .write();
    }
}
