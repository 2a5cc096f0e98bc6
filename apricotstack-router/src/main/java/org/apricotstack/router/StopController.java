package org.apricotstack.router;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.apricotstack.core.failure.RefusalReason;
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
    private final LongSupplier active;
    private final LongSupplier keepMillis;
    private final Runnable announce;
    private final Scheduler timer;

    /**
     * Creates a controller.
     *
     * @param active the number of requests and attempts in progress
     * @param keepMillis how long callers cache the addresses of routers, in milliseconds
     * @param announce announces to the peers that this router is leaving
     * @param timer schedules the delays
     */
    StopController(LongSupplier active, LongSupplier keepMillis, Runnable announce, Scheduler timer) {
        this.active = active;
        this.keepMillis = keepMillis;
        this.announce = announce;
        this.timer = timer;
    }

    /** Starts the shutdown. Further calls have no effect. */
    void drain() {
        if (!stage.compareAndSet(Stage.SERVING, Stage.LEAVING)) {
            return;
        }
        Logger.info("event=leaving active={}", active.getAsLong());
        announce.run();
        Mono.delay(Duration.ofMillis(keepMillis.getAsLong()), timer)
                .doOnNext(over -> stage.set(Stage.ENDING))
                .thenMany(Flux.interval(CHECK_INTERVAL, timer))
                .takeUntil(tick -> active.getAsLong() == 0)
                .subscribe(tick -> {}, error -> complete(), this::complete);
    }

    /** Completes the shutdown. */
    private void complete() {
        stage.set(Stage.ENDED);
        Logger.info("event=ended");
        ended.tryEmitEmpty();
    }

    /** Returns the stage. */
    Stage stage() {
        return stage.get();
    }

    /** Returns why new requests are refused, or {@code null}. */
    RefusalReason closedReason() {
        return stage.get().compareTo(Stage.LEAVING) > 0 ? RefusalReason.STOPPING : null;
    }

    /** Completes when no requests or attempts are in progress. */
    Mono<Void> ended() {
        return ended.asMono();
    }
}
