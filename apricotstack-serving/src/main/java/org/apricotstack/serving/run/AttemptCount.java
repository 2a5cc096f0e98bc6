package org.apricotstack.serving.run;

import java.util.EnumSet;
import java.util.Set;

import org.apricotstack.core.route.Route;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Counts the sends of one request and says whether another may follow.
 *
 * <p>Sends that reach no upstream, and those that an upstream turns away as it leaves, count for no attempt. Neither
 * does the first one that an upstream loses as it leaves; a request that makes one upstream after the other leave is
 * bounded by its attempts.
 */
final class AttemptCount {

    /** Less time than this is not worth a send, in milliseconds. */
    static final long MIN_REMAINING_MILLIS = 5;

    /**
     * Sends that count for no attempt, at most. Each costs a few milliseconds and goes to another upstream; engines
     * that are lost together are also tried again together, and a prompt that meets them all still has the time for
     * the next one.
     */
    private static final int MAX_UNCOUNTED = 12;

    /** Failures of sends that no upstream got, or that were turned away. */
    private static final Set<FailureKind> ALWAYS_UNCOUNTED =
            EnumSet.of(FailureKind.NO_CONNECTION, FailureKind.WITHHELD, FailureKind.DRAINING);

    /** Failures by which an upstream that leaves does not run the request. */
    private static final Set<FailureKind> REJECTED_WHILE_DRAINING =
            EnumSet.of(FailureKind.FULL, FailureKind.OTHER_INSTANCE, FailureKind.HELPER_GONE);

    /** Failures by which an upstream that leaves ends under the request. */
    private static final Set<FailureKind> CONNECTION_LOST = EnumSet.of(FailureKind.RESET, FailureKind.CUT);

    private final Route route;
    private int sent;
    private int uncounted;
    private boolean connectionLostOnce;
    private boolean mayHaveRun;

    /** Creates a count of no sends. */
    AttemptCount(Route route) {
        this.route = route;
    }

    /** Notes a send. */
    void send() {
        sent++;
    }

    /** Tells whether a failure counts for no attempt, given whether the upstream that caused it is leaving. */
    boolean isUncounted(FailureKind kind, boolean leaving) {
        boolean uncountedWhileDraining =
                REJECTED_WHILE_DRAINING.contains(kind) || CONNECTION_LOST.contains(kind) && !connectionLostOnce;
        return ALWAYS_UNCOUNTED.contains(kind) || leaving && uncountedWhileDraining;
    }

    /** Notes how a send failed, and whether it counts for no attempt. */
    void failed(FailureKind kind, boolean isUncounted) {
        mayHaveRun |= kind.mayHaveRun();
        if (isUncounted) {
            connectionLostOnce |= CONNECTION_LOST.contains(kind);
            sent--;
            uncounted++;
        }
    }

    /** Notes that the time ended while an upstream was at work. */
    void timedOutInFlight() {
        mayHaveRun |= sent > 0;
    }

    /** Returns how many upstreams the request was sent to. */
    int sent() {
        return sent;
    }

    /** Tells whether some upstream may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Says why no send may follow a failure; {@code null} if one may, leaving the retry budget aside. */
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
