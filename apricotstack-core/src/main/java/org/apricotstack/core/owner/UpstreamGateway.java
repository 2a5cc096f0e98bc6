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
     * @param remainingMillis time until its deadline, in milliseconds
     * @return its events; completes after the last event, or fails if the connection was lost
     */
    Flux<AttemptEvent> run(Assignment assignment, long remainingMillis);

    /**
     * Releases the memory that an engine holds for an attempt, over a connection other than the attempt's own.
     *
     * @param upstream the engine
     * @param attempt the attempt
     * @return completes when the engine has confirmed
     */
    Mono<Void> release(Upstream upstream, AttemptId attempt);

    /**
     * Lists the memory that an engine holds.
     *
     * @param upstream the engine
     * @return the held streams of all owners
     */
    Mono<List<HeldStream>> heldStreams(Upstream upstream);

    /**
     * Reads the actual state of an engine.
     *
     * @param upstream the engine
     * @return its state, in the form of a desired state
     */
    Mono<DesiredUpstreamState> state(Upstream upstream);

    /**
     * Orders an engine to change to a desired state.
     *
     * @param upstream the engine
     * @param order the desired state
     * @return whether the engine accepted the order
     */
    Mono<Boolean> order(Upstream upstream, DesiredUpstreamState order);
}
