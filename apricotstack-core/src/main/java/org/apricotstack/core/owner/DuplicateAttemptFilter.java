package org.apricotstack.core.owner;

import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Rejects second copies of attempts that must run at most once, even after the first copy has ended.
 *
 * <p>A second copy of a dispatch can arrive after the first has ended, from a library that resends or from a socket
 * buffer that was not read while the process was paused. The queue and the running attempts no longer contain the
 * attempt, so without this record it would run twice on an upstream. The record is kept past the time limit of the
 * attempt, because the remaining time of a copy counts from its own arrival.
 */
final class DuplicateAttemptFilter {

    /** Time after the deadline for which an attempt is recorded, in milliseconds. */
    static final long RETENTION_MILLIS = 300_000;

    private final Map<AttemptId, Long> retainedUntilMillis = new LinkedHashMap<>();
    private final MonotonicClock clock;

    /** Creates a filter without records. */
    DuplicateAttemptFilter(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records an attempt and returns whether it may run. Repeatable work is not recorded. */
    synchronized boolean tryAccept(DispatchCommand command) {
        if (command.work().repeatable()) {
            return true;
        }
        long until = clock.millis() + command.deadline().remainingMillis(clock) + RETENTION_MILLIS;
        return retainedUntilMillis.putIfAbsent(command.attempt(), until) == null;
    }

    /** Removes records whose retention time is over. */
    synchronized void evictExpired() {
        long now = clock.millis();
        retainedUntilMillis.values().removeIf(until -> until <= now);
    }

    /** Returns the number of recorded attempts. */
    synchronized int size() {
        return retainedUntilMillis.size();
    }
}
