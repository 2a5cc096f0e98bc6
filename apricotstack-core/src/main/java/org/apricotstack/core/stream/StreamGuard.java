package org.apricotstack.core.stream;

import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.stream.AttemptSignal.Chunk;
import org.apricotstack.core.stream.AttemptSignal.Completed;

/**
 * Checks the events of one attempt, so that an answer that is mixed up, incomplete or partly duplicated is never
 * forwarded as complete.
 *
 * <p>An upstream or a connection may mix two streams, drop a chunk, send a chunk again after a resume, or end early.
 * These faults show in the echoed attempt id, in offsets that are not consecutive, and in a wrong final count. The
 * owner and the entry router each use a guard, so that each hop is covered.
 */
public final class StreamGuard {

    private final AttemptId attempt;
    private long nextOffset;

    /**
     * Creates a guard.
     *
     * @param attempt the attempt whose events are expected
     * @param resumeOffset units of the answer that earlier attempts forwarded
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

    /** Classifies an event of another attempt. */
    private StreamVerdict checkForeign(AttemptId other) {
        boolean sameRequest = other != null && other.request().equals(attempt.request());
        return sameRequest && other.number() < attempt.number() ? StreamVerdict.LATE : StreamVerdict.CROSSED;
    }

    /** Classifies a chunk by its offset. */
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
     * Returns how much of the answer was accepted.
     *
     * @return the offset of the next unit
     */
    public long offset() {
        return nextOffset;
    }
}
