package org.apricotstack.serving.publication;

import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.observe.DecisionLog;

/** Logs and counts when the platform starts another history, whose contents may be some seconds old. */
final class HistoryLog {

    private final DecisionLog log;
    private long changes;

    /** Creates a log without a change. */
    HistoryLog(DecisionLog log) {
        this.log = log;
    }

    /** Returns the number of changes since the start. */
    long changes() {
        return changes;
    }

    /** Compares the revision of a snapshot with the known one, and logs a change. */
    void read(long revision, long known, long configurationVersion) {
        if (revision < known) {
            log.line("platform_revision_fell")
                    .put("revision_before", Revisions.text(known))
                    .put("revision", Revisions.text(revision))
                    .write();
        }
        if (known > 0 && Revisions.history(revision) != Revisions.history(known)) {
            changes++;
            log.line("platform_history_changed")
                    .put("from", Revisions.history(known))
                    .put("to", Revisions.history(revision))
                    .put("revision_before", Revisions.inHistory(known))
                    .put("revision", Revisions.inHistory(revision))
                    .put("configuration", configurationVersion)
                    .write();
        }
    }
}
