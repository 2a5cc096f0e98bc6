package org.apricotstack.serving.run;

import java.util.EnumSet;
import java.util.Set;

import org.apricotstack.core.route.Route;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Counts the attempts of one request and decides whether it may be retried.
 *
 * <p>Attempts that reach no upstream, and those that a draining upstream rejects, are not counted. The first connection
 * that a draining upstream drops is not counted either. Further ones are, so that the attempt limit bounds a request
 * that makes one upstream after the other shut down.
 */
final class AttemptCount {

    /** Least remaining time for which another attempt is worthwhile, in milliseconds. */
    static final long MIN_REMAINING_MILLIS = 5;

    /**
     * Maximum of uncounted attempts. Each takes a few milliseconds and goes to another upstream. Engines that crash
     * together are also tried again together; a prompt that is sent to all of them still has time for the next engine.
     */
    private static final int MAX_UNCOUNTED = 12;

    /** Failures where no upstream received the request, or the upstream is draining. */
    private static final Set<FailureKind> ALWAYS_UNCOUNTED =
            EnumSet.of(FailureKind.NO_CONNECTION, FailureKind.WITHHELD, FailureKind.DRAINING);

    /** Failures by which a draining upstream rejects the request without running it. */
    private static final Set<FailureKind> REJECTED_WHILE_DRAINING =
            EnumSet.of(FailureKind.FULL, FailureKind.OTHER_INSTANCE, FailureKind.HELPER_GONE);

    /** Failures by which a draining upstream drops the connection while the request is in flight. */
    private static final Set<FailureKind> CONNECTION_LOST =
            EnumSet.of(FailureKind.RESET, FailureKind.CUT, FailureKind.CUT_WHILE_SENDING);

    private final Route route;
    private int sent;
    private int uncounted;
    private int arrivals;
    private boolean connectionLostOnce;
    private boolean mayHaveRun;
    private boolean unmatched;

    /** Creates a counter without attempts. */
    AttemptCount(Route route) {
        this.route = route;
    }

    /** Records an attempt. */
    void send() {
        sent++;
    }

    /**
     * Returns whether a failure is not counted as an attempt, given whether the upstream that caused it is draining.
     */
    boolean isUncounted(FailureKind kind, boolean draining) {
        boolean uncountedWhileDraining =
                REJECTED_WHILE_DRAINING.contains(kind) || CONNECTION_LOST.contains(kind) && !connectionLostOnce;
        return ALWAYS_UNCOUNTED.contains(kind) || draining && uncountedWhileDraining;
    }

    /** Records how an attempt failed, and whether it is not counted. */
    void failed(FailureKind kind, boolean isUncounted) {
        mayHaveRun |= kind.mayHaveRun();
        unmatched |= kind == FailureKind.UNMATCHED;
        if (kind.arrives()) {
            arrivals++;
        }
        if (isUncounted) {
            connectionLostOnce |= CONNECTION_LOST.contains(kind);
            sent--;
            uncounted++;
        }
    }

    /** Returns whether an attempt failed as a response that is not known to belong to the request came instead. */
    boolean unmatched() {
        return unmatched;
    }

    /** Records that the run ended with an attempt in flight, which may have run the request, or {@code null}. */
    void endedInFlight(Attempt inFlight) {
        mayHaveRun |= inFlight != null && sent > 0;
    }

    /** Returns the number of counted attempts. */
    int sent() {
        return sent;
    }

    /** Returns the number of failed attempts that may have reached an upstream, counted as attempts or not. */
    int arrivals() {
        return arrivals;
    }

    /** Returns whether an upstream may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns why the request may not be retried after a failure, or {@code null} if it may; the retry budget is
     * checked elsewhere.
     */
    RefusalCause retryRefusal(FailureKind kind, boolean isUncounted, long remainingMillis) {
        if (kind.mayHaveRun() && !route.idempotent()) {
            return RefusalCause.MAY_HAVE_RUN;
        }
        boolean used = isUncounted ? uncounted >= MAX_UNCOUNTED : sent >= route.maxAttempts();
        if (used) {
            return RefusalCause.ATTEMPTS_USED;
        }
        return remainingMillis < MIN_REMAINING_MILLIS ? RefusalCause.TIME_LIMIT : null;
    }
}
