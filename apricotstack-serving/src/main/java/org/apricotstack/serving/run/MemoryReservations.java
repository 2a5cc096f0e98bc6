package org.apricotstack.serving.run;

import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/** Reserves memory at engines for prompts that one engine cannot hold. */
public interface MemoryReservations {

    /**
     * Reserves memory.
     *
     * @param engine the engine
     * @param reservation names the reservation
     * @param tokens how much
     * @param holdMillis time after which the engine frees it by itself, in milliseconds
     * @return whether it was reserved; an error if nobody knows
     */
    Mono<Boolean> reserve(UpstreamEntry engine, String reservation, long tokens, long holdMillis);

    /**
     * Ends a reservation.
     *
     * @param engine the engine
     * @param reservation names the reservation
     * @return whether the engine took it; an error if nobody knows
     */
    Mono<Boolean> release(UpstreamEntry engine, String reservation);
}
