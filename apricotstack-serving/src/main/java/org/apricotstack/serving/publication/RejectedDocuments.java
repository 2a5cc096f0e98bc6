package org.apricotstack.serving.publication;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.base.Ascii;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.observe.DecisionLog;

/**
 * Counts and logs documents that cannot be used. One that describes an upstream is logged once until a valid one
 * follows, and a configuration once for each revision, as the same documents are read again and again.
 */
final class RejectedDocuments {

    /** Maximum number of rejected documents that are remembered, so that each is logged once. */
    private static final int MAX_REMEMBERED = 256;

    /** Maximum length of a logged problem, in characters; it may quote a document of unknown origin. */
    private static final int MAX_PROBLEM_LENGTH = 200;

    private final DecisionLog log;
    private final Set<UpstreamId> upstreams = new HashSet<>();
    private long configurationRevision;
    private long count;

    /** Creates a count of 0. */
    RejectedDocuments(DecisionLog log) {
        this.log = log;
    }

    /** Returns the number of rejected documents since the start. */
    long count() {
        return count;
    }

    /** Records a valid document of an upstream, or the removal of its document. */
    void accepted(UpstreamId upstream) {
        upstreams.remove(upstream);
    }

    /** Forgets the upstreams that are missing from a complete list, as no event reports their removal. */
    void retain(Collection<Publication> listed) {
        if (!upstreams.isEmpty()) {
            upstreams.retainAll(listed.stream().map(Publication::upstream).collect(Collectors.toSet()));
        }
    }

    /** Records a document that cannot be used. */
    void rejected(Publication document, String source, ApricotException problem) {
        count++;
        if (document.isConfiguration() ? !isNewConfiguration(document) : !isNewUpstream(document)) {
            return;
        }
        log.line("document_rejected")
                .put(
                        "document",
                        document.isConfiguration()
                                ? "configuration"
                                : document.upstream().value())
                .put("revision", Revisions.text(document.revision()))
                .put("source", source)
                .put("problem", Ascii.truncate(problem.getMessage(), MAX_PROBLEM_LENGTH, "..."))
                .write();
    }

    /** Remembers the revision of a configuration, and returns whether it is another one than before. */
    private boolean isNewConfiguration(Publication document) {
        boolean isNew = document.revision() != configurationRevision;
        configurationRevision = document.revision();
        return isNew;
    }

    /** Remembers the upstream that a document describes, and returns whether it was not remembered yet. */
    private boolean isNewUpstream(Publication document) {
        return upstreams.size() < MAX_REMEMBERED && upstreams.add(document.upstream());
    }
}
