package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.StatedLimit;
import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/** What engines offer beside running prompts; each call ends by itself within a fraction of a second. */
public interface EngineCalls {

    /**
     * What an engine says of itself.
     *
     * @param pace how slow it is: 1 for the published figures, more for a slow engine
     * @param queued requests that wait there for a slot or for memory
     * @param incarnation which of its starts answered, see {@link UpstreamId}
     * @param statedLimit what the answer says of the engine's rate limit
     */
    record Report(double pace, int queued, long incarnation, StatedLimit statedLimit) {}

    /**
     * What an engine answers to an order.
     *
     * @param done whether it took the order
     * @param statedLimit what the answer says of the engine's rate limit
     */
    record OrderAnswer(boolean done, StatedLimit statedLimit) {}

    /**
     * Reserves memory, or renews a reservation.
     *
     * @param engine the engine
     * @param reservation names the reservation
     * @param tokens how much
     * @param holdMillis time after which the engine frees it by itself, in milliseconds
     * @return whether it was reserved; an error if nobody knows
     */
    Mono<OrderAnswer> reserve(UpstreamEntry engine, String reservation, long tokens, long holdMillis);

    /**
     * Ends a reservation.
     *
     * @param engine the engine
     * @param reservation names the reservation
     * @return whether the engine took it; an error if nobody knows
     */
    Mono<OrderAnswer> release(UpstreamEntry engine, String reservation);

    /**
     * Asks an engine for its state. It is priced, so it is asked only when its silence has to be explained.
     *
     * @param engine the engine
     * @return the state; an error if it does not answer
     */
    Mono<Report> report(UpstreamEntry engine);
}
