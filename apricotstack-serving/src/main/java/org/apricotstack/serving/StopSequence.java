package org.apricotstack.serving;

import org.apricotstack.serving.gossip.GossipHub;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.run.RequestDispatcher;

/**
 * Stops a router without losing requests.
 *
 * <p>Callers learn of the stop only when they ask for addresses again, and use their connections until then. So the
 * router first stops to be named and lets each answer end its connection; later it closes idle connections and refuses
 * what is new; it ends when nothing is open any more, in any case shortly before it would be killed.
 */
final class StopSequence {

    /** Time for which callers may still bring requests, in milliseconds: the time that addresses are kept, and more. */
    private static final long NAMED_MILLIS = 2_600;

    /** Share of the time to stop in after which new requests are refused. */
    private static final double REFUSE_SHARE = 0.6;

    /** Left of the time to stop in when the process ends in any case, in milliseconds. */
    private static final long MARGIN_MILLIS = 300;

    private static final long RECHECK_MILLIS = 100;

    private final ServingLoop loop;
    private final long stopMillis;
    private final CallerServer callers;
    private final RequestDispatcher runs;
    private final GossipHub hub;
    private final DecisionLog log;
    private boolean begun;
    private boolean idleClosed;
    private long begunMillis;
    private Runnable whenDone;

    /** Creates a sequence that was not begun. */
    StopSequence(
            ServingLoop loop,
            long stopMillis,
            CallerServer callers,
            RequestDispatcher runs,
            GossipHub hub,
            DecisionLog log) {
        this.loop = loop;
        this.stopMillis = stopMillis;
        this.callers = callers;
        this.runs = runs;
        this.hub = hub;
        this.log = log;
    }

    /** Tells whether the router stops. */
    boolean begun() {
        return begun;
    }

    /** Begins to stop. */
    void begin(Runnable done) {
        if (begun) {
            return;
        }
        begun = true;
        begunMillis = loop.nowMillis();
        whenDone = done;
        log.line("stop_begun").put("open", runs.open()).write();
        callers.beginStop();
        hub.heartbeat();
        look();
    }

    /** Looks whether the next step is due. */
    private void look() {
        long since = loop.nowMillis() - begunMillis;
        if (since >= NAMED_MILLIS && !idleClosed) {
            idleClosed = true;
            callers.closeIdle();
        }
        if (since >= stopMillis * REFUSE_SHARE) {
            runs.refuseNew();
        }
        boolean finished = idleClosed && runs.open() == 0;
        if (finished || since >= stopMillis - MARGIN_MILLIS) {
            log.line("stopped")
                    .put("open", runs.open())
                    .put("took_millis", since)
                    .write();
            callers.stopListening();
            whenDone.run();
            return;
        }
        loop.schedule(RECHECK_MILLIS, this::look);
    }
}
