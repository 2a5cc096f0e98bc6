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
 * Stops a router without cutting a request.
 *
 * <p>Callers keep an entry answer for a while and connect to a host that they were told of before it began to stop.
 * The router therefore goes on taking requests for that long after it has ceased to be named, and only then
 * refuses; it ends after its last request and the last attempt that it runs as an owner.
 */
final class StopController {

    /** Stages of the stop. */
    enum Stage {
        /** Serving, and named in entry answers. */
        SERVING,
        /** Serving, and no longer named. */
        LEAVING,
        /** Refusing new requests, ending those in progress. */
        ENDING,
        /** Nothing is in progress any more. */
        ENDED
    }

    private static final Duration LOOK = Duration.ofMillis(50);

    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.SERVING);
    private final Sinks.Empty<Void> ended = Sinks.empty();
    private final LongSupplier active;
    private final LongSupplier keepMillis;
    private final Runnable announce;
    private final Scheduler timer;

    /**
     * Creates a controller.
     *
     * @param active requests and attempts in progress
     * @param keepMillis how long callers keep an entry answer, in milliseconds
     * @param announce tells the peers that this router is leaving
     * @param timer runs the waits
     */
    StopController(LongSupplier active, LongSupplier keepMillis, Runnable announce, Scheduler timer) {
        this.active = active;
        this.keepMillis = keepMillis;
        this.announce = announce;
        this.timer = timer;
    }

    /** Starts the stop; calling it again changes nothing. */
    void drain() {
        if (!stage.compareAndSet(Stage.SERVING, Stage.LEAVING)) {
            return;
        }
        Logger.info("event=leaving active={}", active.getAsLong());
        announce.run();
        Mono.delay(Duration.ofMillis(keepMillis.getAsLong()), timer)
                .doOnNext(over -> stage.set(Stage.ENDING))
                .thenMany(Flux.interval(LOOK, timer))
                .takeUntil(tick -> active.getAsLong() == 0)
                .subscribe(tick -> {}, error -> end(), this::end);
    }

    /** Notes the end. */
    private void end() {
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

    /** Ends when nothing is in progress any more. */
    Mono<Void> ended() {
        return ended.asMono();
    }
}
