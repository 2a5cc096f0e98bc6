package org.apricotstack.serving.run;

import org.apricotstack.core.route.Route;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.RefusalCause;

/** Counts the sends of one request and says whether another may follow. */
final class AttemptCount {

    /** Less time than this is not worth a send, in milliseconds. */
    static final long LEAST_LEFT_MILLIS = 5;

    /**
     * Sends that reach no upstream at all and count for no attempt, at most. Each costs a few milliseconds and goes to
     * another upstream; engines that are lost together are also tried again together, and a prompt that meets them all
     * still has the time for the next one.
     */
    private static final int MOST_UNCONNECTED = 12;

    private final Route route;
    private int sent;
    private int unconnected;
    private boolean mayHaveRun;

    /** Creates a count of no sends. */
    AttemptCount(Route route) {
        this.route = route;
    }

    /** Notes a send. */
    void send() {
        sent++;
    }

    /** Notes how a send failed. */
    void failed(FailureKind kind) {
        mayHaveRun |= kind.mayHaveRun();
        if (kind == FailureKind.NO_CONNECTION) {
            sent--;
            unconnected++;
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
    RefusalCause whyNotAgain(FailureKind kind, long leftMillis) {
        if (kind.mayHaveRun() && !route.idempotent()) {
            return RefusalCause.MAY_HAVE_RUN;
        }
        boolean used =
                kind == FailureKind.NO_CONNECTION ? unconnected >= MOST_UNCONNECTED : sent >= route.maxAttempts();
        if (used) {
            return RefusalCause.ATTEMPTS_USED;
        }
        return leftMillis < LEAST_LEFT_MILLIS ? RefusalCause.TIME_LIMIT : null;
    }
}
