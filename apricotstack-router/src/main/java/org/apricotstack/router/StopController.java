package org.apricotstack.router;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
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
 * Shuts down a router without aborting requests.
 *
 * <p>Callers cache the addresses of routers and may connect to one that has since begun to shut down. The router
 * therefore keeps accepting requests until the cached addresses have expired, and only then refuses new ones. It ends
 * after its last request and the last attempt that it runs as an owner.
 */
final class StopController {

    /** Stages of the shutdown. */
    enum Stage {
        /** Accepts requests, and is returned to callers. */
        SERVING,
        /** Accepts requests, and is no longer returned to callers. */
        LEAVING,
        /** Refuses new requests, and completes those in progress. */
        ENDING,
        /** No requests or attempts are in progress. */
        ENDED
    }

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.SERVING);
    private final Sinks.Empty<Void> ended = Sinks.empty();
    private final ProcessId self;
    private final LongSupplier active;
    private final LongSupplier keepMillis;
    private final Runnable announce;
    private final Runnable onTaken;
    private final MonotonicClock clock;
    private final Scheduler timer;
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private volatile long leavingMillis;

    /**
     * Creates a controller.
     *
     * @param self this process, for the log
     * @param active the number of requests and attempts in progress
     * @param keepMillis how long callers cache the addresses of routers, in milliseconds
     * @param announce announces to the peers that this router is leaving
     * @param onTaken counts a request that is accepted while the router is leaving
     * @param runtime clock and timer
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
    }

    /** Starts the shutdown. Further calls have no effect. */
    void drain() {
        if (!stage.compareAndSet(Stage.SERVING, Stage.LEAVING)) {
            return;
        }
        leavingMillis = clock.millis();
        long keep = keepMillis.getAsLong();
        Logger.info("event=leaving at={} active={} keep_millis={}", self, active.getAsLong(), keep);
        announce.run();
        Mono.delay(Duration.ofMillis(keep), timer)
                .doOnNext(over -> refuseNew())
                .thenMany(Flux.interval(CHECK_INTERVAL, timer))
                .takeUntil(tick -> active.getAsLong() == 0)
                .subscribe(tick -> {}, error -> complete(), this::complete);
    }

    /** Starts to refuse new requests. */
    private void refuseNew() {
        stage.set(Stage.ENDING);
        logStage("ending");
    }

    /** Completes the shutdown. */
    private void complete() {
        stage.set(Stage.ENDED);
        logStage("ended");
        ended.tryEmitEmpty();
    }

    /** Returns the stage. */
    Stage stage() {
        return stage.get();
    }

    /**
     * Decides whether a new request is accepted.
     *
     * @param request its id, for the log
     * @return why it is refused, or {@code null} if it is accepted
     */
    RefusalReason closedReason(String request) {
        if (stage.get() == Stage.SERVING) {
            return null;
        }
        if (stage.get() == Stage.LEAVING) {
            taken.incrementAndGet();
            onTaken.run();
            Logger.info(
                    "event=taken_while_leaving at={} request={} since_leaving_millis={}",
                    self,
                    request,
                    sinceLeavingMillis());
            return null;
        }
        refused.incrementAndGet();
        Logger.warn(
                "event=refused_while_stopping at={} request={} since_leaving_millis={}",
                self,
                request,
                sinceLeavingMillis());
        return RefusalReason.STOPPING;
    }

    /** Writes the start of a stage, with the requests since the shutdown began, to the log. */
    private void logStage(String event) {
        Logger.info(
                "event={} at={} since_leaving_millis={} taken={} refused={} active={}",
                event,
                self,
                sinceLeavingMillis(),
                taken,
                refused,
                active.getAsLong());
    }

    /** Returns the time since the shutdown began, in milliseconds. */
    private long sinceLeavingMillis() {
        return clock.millis() - leavingMillis;
    }

    /** Completes when no requests or attempts are in progress. */
    Mono<Void> ended() {
        return ended.asMono();
    }
}
