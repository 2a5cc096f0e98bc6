package org.apricotstack.serving;

import org.apricotstack.core.stop.StopTimeline;
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

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final ServingLoop loop;
    private final long stopTimeoutMillis;
    private final CallerServer callers;
    private final RequestDispatcher runs;
    private final GossipHub hub;
    private final DecisionLog log;
    private final StopTimeline timeline;
    private boolean idleClosed;
    private boolean rejecting;
    private Runnable whenDone;

    /** Creates a sequence that has not started. */
    StopSequence(
            ServingLoop loop,
            long stopTimeoutMillis,
            CallerServer callers,
            RequestDispatcher runs,
            GossipHub hub,
            StopTimeline timeline,
            DecisionLog log) {
        this.loop = loop;
        this.stopTimeoutMillis = stopTimeoutMillis;
        this.callers = callers;
        this.runs = runs;
        this.hub = hub;
        this.timeline = timeline;
        this.log = log;
    }

    /** Returns whether the router is stopping. */
    boolean stopping() {
        return timeline.stopping();
    }

    /** Starts to stop the router. */
    void begin(Runnable done) {
        if (timeline.stopping()) {
            return;
        }
        long now = loop.nowMillis();
        timeline.begin(now);
        whenDone = done;
        line("stop_begun").put("left_millis", timeline.leftMillis(now)).write();
        callers.beginStop();
        hub.heartbeat();
        runDueSteps();
    }

    /** Runs the steps that are due, and schedules the next check. */
    private void runDueSteps() {
        long now = loop.nowMillis();
        long elapsedMillis = timeline.elapsedMillis(now);
        if (elapsedMillis >= CALLER_GRACE_MILLIS && !idleClosed) {
            idleClosed = true;
            phase("closes_idle", elapsedMillis);
            callers.closeIdle();
        }
        if (elapsedMillis >= stopTimeoutMillis * REJECT_SHARE) {
            if (!rejecting) {
                rejecting = true;
                phase("rejects", elapsedMillis);
            }
            runs.refuseNew();
        }
        boolean finished = idleClosed && runs.open() == 0;
        if (finished || timeline.leftMillis(now) <= 0) {
            runs.processEnds();
            line("stopped").put("took_millis", elapsedMillis).write();
            callers.stopListening();
            whenDone.run();
            return;
        }
        loop.schedule(CHECK_INTERVAL_MILLIS, this::runDueSteps);
    }

    /** Logs the begin of a phase. */
    private void phase(String name, long elapsedMillis) {
        line("stop_phase")
                .put("phase", name)
                .put("stopping_millis", elapsedMillis)
                .write();
    }

    /** Starts a log line with the requests in flight, and those that arrived or were rejected since the signal. */
    private DecisionLog.Line line(String event) {
        return log.line(event)
                .put("open", runs.open())
                .put("arrived", runs.arrivedWhileStopping())
                .put("rejected", runs.rejectedAsStopping());
    }
}
