package org.apricotstack.router;

import java.time.Duration;
import java.util.function.LongSupplier;

import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.time.MonotonicClock;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Shuts down a router without refusing or aborting requests.
 *
 * <p>Callers cache the addresses of routers, and this router does not know until when: another router names it until it
 * has heard of the shutdown, the cached time starts when the answer arrives, and a request takes time to arrive. The
 * router therefore accepts requests for as long as they come. It ends once nothing is in progress and no request has
 * arrived for the time for which addresses may be cached.
 *
 * <p>After that time, a request is refused only if its time limit ends after that of the shutdown. Callers that never
 * ask for addresses again thus cannot keep the router running, and their requests are not aborted.
 */
final class StopController {

    /** Stages of the shutdown. */
    enum Stage {
        /** Accepts requests, and is returned to callers. */
        SERVING,
        /** Accepts requests that it can complete, and is no longer returned to callers. */
        LEAVING,
        /** Accepts no requests, and none are in progress unless the time limit of the shutdown has passed. */
        ENDED
    }

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final Sinks.Empty<Void> ended = Sinks.empty();
    private final ProcessId self;
    private final LongSupplier active;
    private final LongSupplier keepMillis;
    private final Runnable announce;
    private final Runnable onTaken;
    private final MonotonicClock clock;
    private final Scheduler timer;
    private final long limitMillis;
    private Stage stage = Stage.SERVING;
    private long leavingMillis;
    private long keptMillis;
    private long lastArrivalMillis;
    private long taken;
    private long refused;

    /**
     * Creates a controller.
     *
     * @param self this process, for the log
     * @param active zero if nothing is in progress; a request may count as request, run and attempt
     * @param keepMillis how long callers cache the addresses of routers, in milliseconds
     * @param announce announces to the peers that this router is leaving
     * @param onTaken counts a request that is accepted while the router is leaving
     * @param runtime clock, timer and time limit
     */
    StopController(
            ProcessId self,
            LongSupplier active,
            LongSupplier keepMillis,
            Runnable announce,
            Runnable onTaken,
            RouterRuntime runtime) {
        this.self = self;
        this.active = active;
        this.keepMillis = keepMillis;
        this.announce = announce;
        this.onTaken = onTaken;
        this.clock = runtime.clock();
        this.timer = runtime.timer();
        this.limitMillis = runtime.stopLimit().toMillis();
    }

    /** Starts the shutdown. Further calls have no effect. */
    void drain() {
        if (!leave()) {
            return;
        }
        announce.run();
        Flux.interval(CHECK_INTERVAL, timer)
                .onBackpressureDrop()
                .takeUntil(tick -> endIfPossible())
                .subscribe(tick -> {}, ended::tryEmitError, ended::tryEmitEmpty);
    }

    /** Enters the stage of leaving; returns whether this is the first call. */
    private synchronized boolean leave() {
        if (stage != Stage.SERVING) {
            return false;
        }
        stage = Stage.LEAVING;
        leavingMillis = clock.millis();
        lastArrivalMillis = leavingMillis;
        keptMillis = keepMillis.getAsLong();
        Logger.info(
                "event=leaving at={} active={} keep_millis={} limit_millis={}",
                self,
                active.getAsLong(),
                keptMillis,
                limitMillis);
        return true;
    }

    /** Ends the shutdown if nothing is in progress or expected, or if its time limit has passed. */
    private synchronized boolean endIfPossible() {
        keptMillis = Math.max(keptMillis, keepMillis.getAsLong());
        long inProgress = active.getAsLong();
        boolean idle = inProgress == 0 && clock.millis() - lastArrivalMillis >= keptMillis;
        if (!idle && leftMillis() > 0) {
            return false;
        }
        stage = Stage.ENDED;
        Logger.info(
                "event=ended at={} since_leaving_millis={} taken={} refused={} active={}",
                self,
                sinceLeavingMillis(),
                taken,
                refused,
                inProgress);
        return true;
    }

    /** Returns the stage. */
    synchronized Stage stage() {
        return stage;
    }

    /**
     * Decides whether a new request is accepted.
     *
     * @param request its id, for the log
     * @param timeLimitMillis the time by which it has ended, in milliseconds from now
     * @return why it is refused, or {@code null} if it is accepted
     */
    synchronized RefusalReason closedReason(String request, long timeLimitMillis) {
        if (stage == Stage.SERVING) {
            return null;
        }
        // Addresses are valid at least for the cached time, and the time limit is an upper bound of what a request
        // needs, so it is not applied before.
        boolean expected = stage == Stage.LEAVING && sinceLeavingMillis() < keptMillis;
        boolean completable = stage == Stage.LEAVING && timeLimitMillis <= leftMillis();
        boolean accepted = expected || completable;
        logArrival(accepted ? "taken_while_leaving" : "refused_while_stopping", request);
        if (!accepted) {
            refused++;
            return RefusalReason.STOPPING;
        }
        lastArrivalMillis = clock.millis();
        taken++;
        onTaken.run();
        return null;
    }

    /** Writes a request that arrives during the shutdown to the log. */
    private void logArrival(String event, String request) {
        Logger.info(
                "event={} at={} request={} since_leaving_millis={} left_millis={}",
                event,
                self,
                request,
                sinceLeavingMillis(),
                leftMillis());
    }

    /** Returns the time since the shutdown began, in milliseconds. */
    private long sinceLeavingMillis() {
        return clock.millis() - leavingMillis;
    }

    /** Returns the time that is left to the shutdown, in milliseconds. */
    private long leftMillis() {
        return limitMillis - sinceLeavingMillis();
    }

    /** Completes when the shutdown has ended. */
    Mono<Void> ended() {
        return ended.asMono();
    }
}
