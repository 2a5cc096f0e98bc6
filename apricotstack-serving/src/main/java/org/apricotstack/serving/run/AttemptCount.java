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
    static final long LEAST_LEFT_MILLIS = 5;

    /**
     * Sends that count for no attempt, at most. Each costs a few milliseconds and goes to another upstream; engines
     * that are lost together are also tried again together, and a prompt that meets them all still has the time for
     * the next one.
     */
    private static final int MOST_FREE = 12;

    /** Failures of sends that no upstream got, or that were turned away. */
    private static final Set<FailureKind> ALWAYS_FREE =
            EnumSet.of(FailureKind.NO_CONNECTION, FailureKind.WITHHELD, FailureKind.DRAINING);

    /** Failures by which an upstream that leaves does not run the request. */
    private static final Set<FailureKind> TURNED_AWAY =
            EnumSet.of(FailureKind.FULL, FailureKind.OTHER_INSTANCE, FailureKind.HELPER_GONE);

    /** Failures by which an upstream that leaves ends under the request. */
    private static final Set<FailureKind> LOST = EnumSet.of(FailureKind.RESET, FailureKind.CUT);

    private final Route route;
    private int sent;
    private int free;
    private boolean lostOnce;
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
    boolean isFree(FailureKind kind, boolean leaving) {
        boolean freeAsItLeaves = TURNED_AWAY.contains(kind) || LOST.contains(kind) && !lostOnce;
        return ALWAYS_FREE.contains(kind) || leaving && freeAsItLeaves;
    }

    /** Notes how a send failed, and whether it counts for no attempt. */
    void failed(FailureKind kind, boolean isFree) {
        mayHaveRun |= kind.mayHaveRun();
        if (isFree) {
            lostOnce |= LOST.contains(kind);
            sent--;
            free++;
        }
    }

    /** Notes that the time ended while an upstream was at work. */
    void leftAtWork() {
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
    RefusalCause whyNotAgain(FailureKind kind, boolean isFree, long leftMillis) {
        if (kind.mayHaveRun() && !route.idempotent()) {
            return RefusalCause.MAY_HAVE_RUN;
        }
        boolean used = isFree ? free >= MOST_FREE : sent >= route.maxAttempts();
        if (used) {
            return RefusalCause.ATTEMPTS_USED;
        }
        return leftMillis < LEAST_LEFT_MILLIS ? RefusalCause.TIME_LIMIT : null;
    }
}
