package org.apricotstack.serving.run;

import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/** What engines offer beside running prompts; each call ends by itself within a fraction of a second. */
public interface EngineCalls {

    /**
     * What an engine says of itself.
     *
     * @param slowdown how slow it is: 1 for the published figures, more for a slow engine
     * @param queued requests that wait there for a slot or for memory
     * @param incarnation which of its starts answered, see {@link UpstreamId}
     */
    record Report(double slowdown, int queued, long incarnation) {}

    /**
     * Reserves memory, or renews a reservation.
     *
     * @param engine the engine
     * @param reservation names the reservation
     * @param tokens how much
     * @param holdMillis time after which the engine frees it by itself, in milliseconds
     * @param onNotice takes what the answer says of the engine, as soon as its head has come
     * @return whether it was reserved; an error if nobody knows
     */
    Mono<Boolean> reserve(
            UpstreamEntry engine, String reservation, long tokens, long holdMillis, Consumer<UpstreamNotice> onNotice);

    /**
     * Ends a reservation.
     *
     * @param engine the engine
     * @param reservation names the reservation
     * @param onNotice takes what the answer says of the engine, as soon as its head has come
     * @return whether the engine took it; an error if nobody knows
     */
    Mono<Boolean> release(UpstreamEntry engine, String reservation, Consumer<UpstreamNotice> onNotice);

    /**
     * Asks an engine for its state. It is priced, so it is asked only when its silence has to be explained.
     *
     * @param engine the engine
     * @param onNotice takes what the answer says of the engine, as soon as its head has come
     * @return the state; an error if it does not answer
     */
    Mono<Report> report(UpstreamEntry engine, Consumer<UpstreamNotice> onNotice);
}
