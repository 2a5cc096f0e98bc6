package org.apricotstack.core.owner;

import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Remembers attempts that must run at most once, beyond their end.
 *
 * <p>What goes wrong: a second copy of a dispatch arrives after the first has ended, from a library that sends
 * again or from a socket that waited while the process was paused. Queue and running attempts no longer know it,
 * and it would run again; the ledger of the upstream would show two. This memory refuses it. An attempt is
 * remembered past its time limit, as a copy that comes with its remaining time counts from its own arrival.
 */
final class DuplicateAttemptFilter {

    /** Time after the deadline for which an attempt is remembered, in milliseconds. */
    static final long RETENTION_MILLIS = 300_000;

    private final Map<AttemptId, Long> retainedUntilMillis = new LinkedHashMap<>();
    private final MonotonicClock clock;

    /** Creates an empty memory. */
    DuplicateAttemptFilter(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Takes an attempt; returns whether it may be run. Work that may be repeated is not remembered. */
    synchronized boolean tryAccept(DispatchCommand command) {
        if (command.work().repeatable()) {
            return true;
        }
        long until = clock.millis() + command.deadline().remainingMillis(clock) + RETENTION_MILLIS;
        return retainedUntilMillis.putIfAbsent(command.attempt(), until) == null;
    }

    /** Forgets what is old enough. */
    synchronized void evictExpired() {
        long now = clock.millis();
        retainedUntilMillis.values().removeIf(until -> until <= now);
    }

    /** Returns how many attempts are remembered. */
    synchronized int size() {
        return retainedUntilMillis.size();
    }
}
