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
 * router is first removed from the addresses for callers and closes each connection after its response. Later it
 * closes idle connections and rejects new requests. It ends when no request is open any more, and in any case shortly
 * before the process would be killed.
 */
final class StopSequence {

    /** Time for which callers may still send requests, in milliseconds; longer than callers cache addresses. */
    private static final long CALLER_GRACE_MILLIS = 2_600;

    /** Share of the stop timeout after which new requests are rejected. */
    private static final double REJECT_SHARE = 0.6;

    /** Remainder of the stop timeout when the process ends in any case, in milliseconds. */
    private static final long MARGIN_MILLIS = 300;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final ServingLoop loop;
    private final long stopTimeoutMillis;
    private final CallerServer callers;
    private final RequestDispatcher runs;
    private final GossipHub hub;
    private final DecisionLog log;
    private boolean stopping;
    private boolean idleClosed;
    private long startMillis;
    private Runnable whenDone;

    /** Creates a sequence that has not started. */
    StopSequence(
            ServingLoop loop,
            long stopTimeoutMillis,
            CallerServer callers,
            RequestDispatcher runs,
            GossipHub hub,
            DecisionLog log) {
        this.loop = loop;
        this.stopTimeoutMillis = stopTimeoutMillis;
        this.callers = callers;
        this.runs = runs;
        this.hub = hub;
        this.log = log;
    }

    /** Returns whether the router is stopping. */
    boolean stopping() {
        return stopping;
    }

    /** Starts to stop the router. */
    void begin(Runnable done) {
        if (stopping) {
            return;
        }
        stopping = true;
        startMillis = loop.nowMillis();
        whenDone = done;
        log.line("stop_begun").put("open", runs.open()).write();
        callers.beginStop();
        hub.heartbeat();
        runDueSteps();
    }

    /** Runs the steps that are due, and schedules the next check. */
    private void runDueSteps() {
        long elapsedMillis = loop.nowMillis() - startMillis;
        if (elapsedMillis >= CALLER_GRACE_MILLIS && !idleClosed) {
            idleClosed = true;
            callers.closeIdle();
        }
        if (elapsedMillis >= stopTimeoutMillis * REJECT_SHARE) {
            runs.refuseNew();
        }
        boolean finished = idleClosed && runs.open() == 0;
        if (finished || elapsedMillis >= stopTimeoutMillis - MARGIN_MILLIS) {
            log.line("stopped")
                    .put("open", runs.open())
                    .put("took_millis", elapsedMillis)
                    .write();
            callers.stopListening();
            whenDone.run();
            return;
        }
        loop.schedule(CHECK_INTERVAL_MILLIS, this::runDueSteps);
    }
}
