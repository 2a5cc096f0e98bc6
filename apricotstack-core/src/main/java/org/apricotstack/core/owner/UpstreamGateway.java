package org.apricotstack.core.owner;

import java.util.List;

import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.stream.AttemptEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Port: the upstreams of a group. */
public interface UpstreamGateway {

    /**
     * Runs an attempt.
     *
     * @param assignment the attempt and its upstreams
     * @param remainingMillis time left for it
     * @return its events; ends with the last event, or with an error if the connection was lost
     */
    Flux<AttemptEvent> run(Assignment assignment, long remainingMillis);

    /**
     * Releases what an engine holds for an attempt, over a connection that is not the attempt's own.
     *
     * @param upstream the engine
     * @param attempt the attempt
     * @return ends when the engine has confirmed
     */
    Mono<Void> release(Upstream upstream, AttemptId attempt);

    /**
     * Lists what an engine holds.
     *
     * @param upstream the engine
     * @return what it holds, of all owners
     */
    Mono<List<HeldStream>> heldStreams(Upstream upstream);

    /**
     * Reads what an engine is.
     *
     * @param upstream the engine
     * @return its state in the form of an order
     */
    Mono<DesiredUpstreamState> state(Upstream upstream);

    /**
     * Orders an engine to become something.
     *
     * @param upstream the engine
     * @param order what to become
     * @return whether the engine took the order
     */
    Mono<Boolean> order(Upstream upstream, DesiredUpstreamState order);
}
