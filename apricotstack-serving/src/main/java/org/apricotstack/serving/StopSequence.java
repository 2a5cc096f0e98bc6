package org.apricotstack.serving;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.stop.StopTimeline;
import org.apricotstack.serving.gossip.GossipHub;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.run.RequestDispatcher;
import org.apricotstack.serving.run.StopGate;

/**
 * Stops a router without losing requests.
 *
 * <p>Callers learn of the stop only when they ask for addresses again, and use their connections until then. So the
 * router is first removed from the addresses for callers and closes each connection after its response; later it closes
 * idle connections. All the while it rejects requests that it could not complete. It ends when no request is open or
 * arriving, all responses are written and callers of its data centre have another router to ask for addresses, and in
 * any case shortly before the process would be killed.
 */
final class StopSequence {

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** Time in which the last responses, and the releases of reserved memory, are written, in milliseconds. */
    private static final long FLUSH_MILLIS = 100;

    private final ServingLoop loop;
    private final CallerServer callers;
    private final RequestDispatcher runs;
    private final IntSupplier relays;
    private final GossipHub hub;
    private final DecisionLog log;
    private final StopTimeline timeline;
    private final StopPolicy policy;
    private final StopGate gate;
    private final BooleanSupplier lastOfDataCentre;
    private boolean idleClosed;
    private boolean waitsForOthers;
    private Runnable whenDone;

    /**
     * Creates a sequence that has not started; the supplier closes the relayed connections that are not in use and
     * returns the number of the others.
     */
    StopSequence(
            ServingLoop loop,
            CallerServer callers,
            RequestDispatcher runs,
            IntSupplier relays,
            GossipHub hub,
            StopGate gate,
            BooleanSupplier lastOfDataCentre,
            DecisionLog log) {
        this.loop = loop;
        this.callers = callers;
        this.runs = runs;
        this.relays = relays;
        this.hub = hub;
        this.gate = gate;
        this.lastOfDataCentre = lastOfDataCentre;
        this.policy = gate.policy();
        this.timeline = policy.timeline();
        this.log = log;
    }

    /** Starts to stop the router; the signal was sent at the given time or later. */
    void begin(long signalMillis, Runnable done) {
        if (timeline.stopping()) {
            return;
        }
        long now = loop.nowMillis();
        timeline.begin(signalMillis, now);
        whenDone = done;
        line("stop_begun")
                .put("signal_age_millis", now - signalMillis)
                .put("left_millis", timeline.leftMillis(now))
                .write();
        callers.beginStop();
        loop.run(hub::heartbeat);
        runDueSteps();
    }

    /** Runs the steps that are due, and schedules the next check, also after a step that failed. */
    void runDueSteps() {
        long now = loop.nowMillis();
        if (!stepsEndedOrFailed(now)) {
            long untilEndMillis = Math.max(1, timeline.leftMillis(now));
            loop.schedule(Math.min(CHECK_INTERVAL_MILLIS, untilEndMillis), this::runDueSteps);
        }
    }

    /** Runs the steps that are due; after a failure, the stop ends once no time is left. */
    private boolean stepsEndedOrFailed(long now) {
        try {
            return stepsEnded(now);
        } catch (RuntimeException | Error e) {
            loop.taskFailed(e);
        }
        boolean ends = timeline.leftMillis(now) <= 0;
        if (ends) {
            end(timeline.elapsedMillis(now));
        }
        return ends;
    }

    /** Runs the steps that are due, and returns whether the last one was among them. */
    private boolean stepsEnded(long now) {
        long elapsedMillis = timeline.elapsedMillis(now);
        if (policy.closesIdle(now) && !idleClosed) {
            idleClosed = true;
            phase("closes_idle", elapsedMillis);
            callers.closeIdle();
        }
        int open = runs.open() + callers.unsettled() + relays.getAsInt();
        boolean last = lastOfDataCentre.getAsBoolean();
        if (last && !waitsForOthers && policy.ends(open, false, now)) {
            waitsForOthers = true;
            phase("waits_for_others", elapsedMillis);
        }
        boolean ends = policy.ends(open, last, now);
        if (ends) {
            end(elapsedMillis);
        }
        return ends;
    }

    /** Ends the requests that are still open, and the process once their responses are written. */
    private void end(long elapsedMillis) {
        line("stopped").put("took_millis", elapsedMillis).write();
        loop.run(callers::stopListening);
        timeline.end();
        loop.run(hub::heartbeat);
        if (runs.open() == 0) {
            whenDone.run();
        } else {
            loop.run(runs::processEnds);
            loop.schedule(FLUSH_MILLIS, whenDone);
        }
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
                .put("unsettled_connections", callers.unsettled())
                .put("arrived", gate.arrived())
                .put("rejected", gate.rejected());
    }
}
