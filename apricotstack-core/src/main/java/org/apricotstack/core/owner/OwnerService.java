package org.apricotstack.core.owner;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.GroupScheduler;
import org.apricotstack.core.dispatch.LeastFirstTokenUpstreamChooser;
import org.apricotstack.core.dispatch.LeastInFlightUpstreamChooser;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.dispatch.ResponseRatioQueueOrder;
import org.apricotstack.core.dispatch.SchedulerOptions;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * The groups that this router owns.
 *
 * <p>Attempts of any group are accepted: the sender determines the owner from its own membership view, and a refusal
 * because of a different view would only cost time.
 */
public final class OwnerService {

    private final Map<GroupId, GroupOwner> owners = new ConcurrentHashMap<>();
    private final DuplicateAttemptFilter duplicates;
    private final Supplier<FleetConfiguration> configuration;
    private final Supplier<Set<UpstreamId>> leaving;
    private final UpstreamGateway gateway;
    private final OwnerMetrics metrics;
    private final MonotonicClock clock;
    private final Scheduler timer;

    /**
     * Creates a service without groups.
     *
     * @param configuration the configuration in force, {@code null} before the first
     * @param leaving upstreams that the platform lists as leaving
     * @param gateway the upstreams
     * @param metrics counters
     * @param clock the local clock
     * @param timer runs retries of releases
     */
    public OwnerService(
            Supplier<FleetConfiguration> configuration,
            Supplier<Set<UpstreamId>> leaving,
            UpstreamGateway gateway,
            OwnerMetrics metrics,
            MonotonicClock clock,
            Scheduler timer) {
        this.configuration = configuration;
        this.leaving = leaving;
        this.gateway = gateway;
        this.metrics = metrics;
        this.clock = clock;
        this.duplicates = new DuplicateAttemptFilter(clock);
        this.timer = timer;
    }

    /**
     * Runs an attempt.
     *
     * @param command the attempt, with a deadline in the local clock
     * @return its events
     */
    public Flux<AttemptEvent> dispatch(DispatchCommand command) {
        FleetConfiguration current = configuration.get();
        Group group = current == null ? null : current.group(command.group());
        if (group == null) {
            RefusalReason reason = current == null ? RefusalReason.NO_CONFIGURATION : RefusalReason.NO_GROUP;
            metrics.attemptRefused(reason);
            return Flux.just(AttemptEvent.refused(command.attempt(), Refusal.notRun(reason, 0), null));
        }
        if (!duplicates.tryAccept(command)) {
            metrics.attemptRefused(RefusalReason.DUPLICATE_ATTEMPT);
            Refusal refusal = Refusal.unknown(RefusalReason.DUPLICATE_ATTEMPT);
            return Flux.just(AttemptEvent.refused(command.attempt(), refusal, null));
        }
        Service service = current.service(command.work().service());
        int priority = service == null ? Service.LEAST_URGENT : service.priority();
        LengthClass lengthClass = current.limits().lengthClass(command.work().promptTokens());
        QueuedAttempt queued = new QueuedAttempt(command, lengthClass, priority, clock.nanos());
        return owner(current, group).dispatch(queued);
    }

    /** Returns the owner of a group, created on the first use. */
    private GroupOwner owner(FleetConfiguration current, Group group) {
        return owners.computeIfAbsent(group.id(), id -> {
            SchedulerOptions options = options(current, group);
            GroupOwner owner = new GroupOwner(new GroupScheduler(id, options, clock), gateway, metrics, clock, timer);
            owner.update(options, current.upstreams(id), leaving.get());
            return owner;
        });
    }

    /** Derives the options of a group from the configuration. */
    private static SchedulerOptions options(FleetConfiguration current, Group group) {
        Preset preset = current.preset();
        boolean plain = group.kind() == ServiceKind.PLAIN;
        return new SchedulerOptions(
                current.limits(),
                new ResponseRatioQueueOrder(preset.slowdownWeight()),
                preset.shortShare(),
                plain ? new LeastInFlightUpstreamChooser() : new LeastFirstTokenUpstreamChooser());
    }

    /** Applies a new configuration or list of leaving upstreams to all groups. */
    public void refresh() {
        FleetConfiguration current = configuration.get();
        if (current == null) {
            return;
        }
        owners.forEach((id, owner) -> {
            Group group = current.group(id);
            if (group != null) {
                owner.update(options(current, group), current.upstreams(id), leaving.get());
            } else if (owner.active() == 0) {
                owners.remove(id);
            } else {
                owner.update(options(current, new Group(id, null, ServiceKind.PLAIN, "")), List.of(), Set.of());
            }
        });
    }

    /** Enforces time limits and ends silent streams; to be called every few tens of milliseconds. */
    public void tick() {
        owners.values().forEach(GroupOwner::tick);
    }

    /** Evicts expired records of attempts; to be called every few seconds. */
    public void evictExpired() {
        duplicates.evictExpired();
    }

    /** Sends a heartbeat on each stream. */
    public void heartbeat() {
        owners.values().forEach(GroupOwner::heartbeat);
    }

    /**
     * Returns the number of queued and running attempts.
     *
     * @return the number over all groups
     */
    public int active() {
        return owners.values().stream().mapToInt(GroupOwner::active).sum();
    }

    /**
     * Returns the groups that have or had attempts here.
     *
     * @return owners by group
     */
    public Map<GroupId, GroupOwner> owners() {
        return Map.copyOf(owners);
    }
}
