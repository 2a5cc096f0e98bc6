package org.apricotstack.core.owner;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.order.DesiredUpstreamStates;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reconciles the engines of an owned group with the configuration: releases orphaned memory and sends orders to engines
 * that are not in their desired state.
 */
public final class UpstreamReconciler {

    private final UpstreamGateway gateway;
    private final MembershipTable members;
    private final OwnerMetrics metrics;

    /**
     * Creates a reconciler.
     *
     * @param gateway the upstreams
     * @param members the membership table
     * @param metrics counters
     */
    public UpstreamReconciler(UpstreamGateway gateway, MembershipTable members, OwnerMetrics metrics) {
        this.gateway = gateway;
        this.members = members;
        this.metrics = metrics;
    }

    /**
     * Reconciles all engines of a group once. Engines that do not answer are skipped until the next call.
     *
     * @param configuration the configuration in force
     * @param group the group
     * @return completes when all engines were handled
     */
    public Mono<Void> reconcile(FleetConfiguration configuration, Group group) {
        return Flux.fromIterable(DesiredUpstreamStates.of(configuration, group))
                .flatMap(desired -> {
                    Upstream upstream = configuration.upstream(desired.upstream());
                    Mono<Void> released = releaseOrphaned(upstream).onErrorResume(error -> Mono.empty());
                    return released.then(reconcileState(upstream, desired).onErrorResume(error -> Mono.empty()));
                })
                .then();
    }

    /** Releases the orphaned memory of one engine. */
    private Mono<Void> releaseOrphaned(Upstream upstream) {
        return gateway.heldStreams(upstream)
                .flatMapIterable(held -> held)
                .filter(held -> ReleaseRule.mayRelease(held, members))
                .flatMap(held -> {
                    AttemptId attempt = AttemptId.parse(held.name());
                    if (attempt == null) {
                        return Mono.<Void>empty();
                    }
                    metrics.memoryReleased();
                    return gateway.release(upstream, attempt);
                })
                .then();
    }

    /** Sends an order to an engine that is not in its desired state. */
    private Mono<Void> reconcileState(Upstream upstream, DesiredUpstreamState desired) {
        return gateway.state(upstream)
                .filter(state -> !desired.isSatisfiedBy(state))
                .flatMap(state -> gateway.order(upstream, desired))
                .doOnNext(metrics::orderSent)
                .then();
    }
}
