package org.apricotstack.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Probes the successors of this router in turn and suspects those that answer neither direct nor indirect probes.
 *
 * <p>Each round sends one direct probe, whatever the size of the fleet. Indirect probes through other routers
 * distinguish a dead host from a broken path between two hosts.
 */
public final class FailureDetector {

    /** Number of routers that are asked to probe on behalf of this one. */
    private static final int INDIRECT_PROBES = 2;

    private final PeerProbes probes;
    private final ProbeExchange exchange;
    private final Supplier<MemberView> views;
    private final HostId self;
    private final MembershipTable table;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Duration probeTimeout;
    private int round;
    private List<HostId> successors = List.of();
    private long successorsRosterVersion = -1;

    /**
     * Creates a detector.
     *
     * @param probes sends the probes
     * @param exchange creates and receives the payload of probes
     * @param views the current membership view
     * @param self this router
     * @param table records suspicions
     * @param time clock and scheduler
     * @param probeTimeout time-out of a probe
     */
    public FailureDetector(
            PeerProbes probes,
            ProbeExchange exchange,
            Supplier<MemberView> views,
            HostId self,
            MembershipTable table,
            DetectorTime time,
            Duration probeTimeout) {
        this.probes = probes;
        this.exchange = exchange;
        this.views = views;
        this.self = self;
        this.table = table;
        this.clock = time.clock();
        this.scheduler = time.scheduler();
        this.probeTimeout = probeTimeout;
    }

    /**
     * Runs one round: expires old suspicions and sends one direct probe, followed by indirect ones if it fails.
     *
     * @return completes when the round has ended
     */
    public Mono<Void> runRound() {
        MemberView view = views.get();
        table.expireSuspicions(clock.millis());
        RosterHost target = nextTarget(view);
        if (target == null) {
            return Mono.empty();
        }
        return probe(target).onErrorResume(error -> probeIndirectly(view, target));
    }

    /**
     * Probes one router directly and processes the payload of its answer.
     *
     * @param target the router
     * @return completes when the answer was processed; an error if there was none
     */
    public Mono<Void> probe(RosterHost target) {
        return Mono.defer(() -> probes.probe(target, exchange.payload()))
                .timeout(probeTimeout, scheduler)
                .doOnNext(answer -> exchange.receive(answer))
                .then();
    }

    /** Asks other routers to probe the target, and suspects it if none of them reaches it. */
    private Mono<Void> probeIndirectly(MemberView view, RosterHost target) {
        List<RosterHost> proxies = view.usable().stream()
                .filter(host -> !host.id().equals(self) && !host.id().equals(target.id()))
                .filter(host -> successors.contains(host.id()))
                .limit(INDIRECT_PROBES)
                .toList();
        return Flux.fromIterable(proxies)
                .flatMap(via -> probes.probeThrough(via, target.id())
                        .timeout(probeTimeout.multipliedBy(2), scheduler)
                        .onErrorReturn(false))
                .any(reached -> reached)
                .doOnNext(reached -> {
                    if (!reached) {
                        table.suspect(target.id(), clock.millis());
                    }
                })
                .then();
    }

    /** Returns the next successor in turn. */
    private RosterHost nextTarget(MemberView view) {
        Roster roster = view.roster();
        if (successorsRosterVersion != roster.version()) {
            successors = WatchRings.successors(roster.routers().keySet(), self);
            successorsRosterVersion = roster.version();
        }
        if (successors.isEmpty()) {
            return null;
        }
        return roster.routers().get(successors.get(Math.floorMod(round++, successors.size())));
    }

    /**
     * Clock and scheduler of the detector.
     *
     * @param clock the local clock
     * @param scheduler runs the time-outs
     */
    public record DetectorTime(MonotonicClock clock, Scheduler scheduler) {}
}
