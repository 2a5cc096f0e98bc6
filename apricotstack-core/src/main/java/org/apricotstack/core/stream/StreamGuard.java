package org.apricotstack.core.stream;

import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.stream.AttemptSignal.Chunk;
import org.apricotstack.core.stream.AttemptSignal.Completed;

/**
 * Checks the events of one attempt, so that a crossed, cut or doubled answer is never passed on as whole.
 *
 * <p>What goes wrong: an upstream or a connection mixes two streams, drops a piece, sends a piece again after a
 * resume, or ends early. One notices by the echoed attempt id, by offsets that do not follow each other, and by a
 * final count that differs. The guard sits at the owner and again at the entry, so each hop is covered.
 */
public final class StreamGuard {

    private final AttemptId attempt;
    private long nextOffset;

    /**
     * Creates a guard.
     *
     * @param attempt the attempt whose events are expected
     * @param resumeOffset units of the answer that were passed on by earlier attempts
     */
    public StreamGuard(AttemptId attempt, long resumeOffset) {
        this.attempt = attempt;
        this.nextOffset = resumeOffset;
    }

    /**
     * Checks the next event.
     *
     * @param event the event
     * @return what to do with it
     */
    public StreamVerdict check(AttemptEvent event) {
        if (!attempt.equals(event.attempt())) {
            return checkForeign(event.attempt());
        }
        if (event.signal() instanceof Chunk chunk) {
            return checkChunk(chunk);
        }
        if (event.signal() instanceof Completed completed) {
            return completed.total() == nextOffset ? StreamVerdict.PASS : StreamVerdict.CUT;
        }
        return StreamVerdict.PASS;
    }

    /** Judges an event that names another attempt. */
    private StreamVerdict checkForeign(AttemptId other) {
        boolean sameRequest = other != null && other.request().equals(attempt.request());
        return sameRequest && other.number() < attempt.number() ? StreamVerdict.LATE : StreamVerdict.CROSSED;
    }

    /** Judges a piece by its place. */
    private StreamVerdict checkChunk(Chunk chunk) {
        if (chunk.offset() + chunk.count() <= nextOffset && chunk.count() > 0) {
            return StreamVerdict.REPEATED;
        }
        if (chunk.offset() != nextOffset) {
            return StreamVerdict.CUT;
        }
        nextOffset += chunk.count();
        return StreamVerdict.PASS;
    }

    /**
     * Returns how much of the answer was passed on.
     *
     * @return the offset of the next unit
     */
    public long offset() {
        return nextOffset;
    }
}
