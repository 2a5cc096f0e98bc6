package org.apricotstack.serving.run;

import java.util.function.Consumer;

import org.apricotstack.core.engine.ReservationResult;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/** Control operations of engines; each call times out within a fraction of a second. */
public interface EngineCalls {

    /**
     * Status that an engine reports.
     *
     * @param slowdown 1 for an engine as fast as its published figures, more for a slower one
     * @param queued requests that wait in the engine for a slot or for memory
     * @param incarnation the incarnation that answered, see {@link UpstreamId}
     */
    record Report(double slowdown, int queued, long incarnation) {}

    /**
     * Reserves memory, or renews a reservation.
     *
     * @param engine the engine
     * @param reservation name of the reservation
     * @param tokens size of the reservation, in tokens
     * @param holdMillis time after which the engine frees the memory without a renewal, in milliseconds
     * @param onNotice called with the engine's notice as soon as the head of the response arrives
     * @return whether the memory was reserved, or why not; an error if the outcome is unknown
     */
    Mono<ReservationResult> reserve(
            UpstreamEntry engine, String reservation, long tokens, long holdMillis, Consumer<UpstreamNotice> onNotice);

    /**
     * Releases a reservation.
     *
     * @param engine the engine
     * @param reservation name of the reservation
     * @param onNotice called with the engine's notice as soon as the head of the response arrives
     * @return whether the engine accepted the release; an error if the outcome is unknown
     */
    Mono<Boolean> release(UpstreamEntry engine, String reservation, Consumer<UpstreamNotice> onNotice);

    /**
     * Requests the status of an engine. Users pay for these calls, so they are made only to explain a silence.
     *
     * @param engine the engine
     * @param onNotice called with the engine's notice as soon as the head of the response arrives
     * @return the status; an error if the engine does not answer
     */
    Mono<Report> report(UpstreamEntry engine, Consumer<UpstreamNotice> onNotice);
}
