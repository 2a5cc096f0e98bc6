package org.apricotstack.core.dispatch;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.routing.GroupLoad;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Queues the attempts of one group and assigns them to upstreams. It only decides and tracks state; it does no I/O and
 * starts no threads. Not thread-safe: callers must serialize the calls.
 */
public final class GroupScheduler {

    /**
     * Maximum number of attempts of one length class that may fail to be placed in a round before the rest of the
     * class is skipped until the next round. If they were counted over all classes, long prompts that wait for memory
     * would keep short ones behind them from being considered.
     */
    private static final int MAX_MISSES = 8;

    private final GroupId group;
    private final MonotonicClock clock;
    private final Map<UpstreamId, UpstreamSlot> slots = new TreeMap<>();
    private final Map<AttemptId, Running> running = new HashMap<>();
    private final GroupQueue queue = new GroupQueue();
    private final AdmissionEstimate estimate;
    private SchedulerOptions options;

    /**
     * Creates a scheduler without upstreams.
     *
     * @param group the group
     * @param options limits, queue order and upstream choice
     * @param clock the local clock
     */
    public GroupScheduler(GroupId group, SchedulerOptions options, MonotonicClock clock) {
        this.group = group;
        this.options = options;
        this.clock = clock;
        this.estimate = new AdmissionEstimate(slots.values(), queue, clock);
    }

    /**
     * Applies newly published upstreams and options; the state of upstreams that remain is kept.
     *
     * @param newOptions limits, queue order and upstream choice
     * @param upstreams the upstreams of the group
     * @param leaving upstreams that get no new work
     */
    public void update(SchedulerOptions newOptions, List<Upstream> upstreams, Set<UpstreamId> leaving) {
        options = newOptions;
        Set<UpstreamId> listed = new HashSet<>();
        for (Upstream upstream : upstreams) {
            listed.add(upstream.id());
            slots.computeIfAbsent(upstream.id(), id -> new UpstreamSlot(upstream))
                    .update(upstream);
        }
        for (UpstreamSlot slot : slots.values()) {
            UpstreamId id = slot.upstream().id();
            slot.setLeaving(leaving.contains(id) || !listed.contains(id));
        }
        slots.values().removeIf(slot -> !listed.contains(slot.upstream().id()) && slot.streams() == 0);
    }

    /**
     * Queues an attempt, or refuses it at once.
     *
     * @param item the attempt
     * @return {@code null} if it was queued, or else the refusal
     */
    public Refusal offer(QueuedAttempt item) {
        AttemptId attempt = item.command().attempt();
        if (queue.contains(attempt) || running.containsKey(attempt)) {
            return Refusal.unknown(RefusalReason.DUPLICATE_ATTEMPT);
        }
        if (item.command().deadline().hasPassed(clock)) {
            return Refusal.notRun(RefusalReason.TIME_LIMIT, 0);
        }
        boolean full = queue.size() >= options.limits().maxQueuedItems()
                || queue.tokensUpTo(LengthClass.LONG) >= options.limits().maxQueuedTokens();
        if (full) {
            return Refusal.notRun(RefusalReason.QUEUE_FULL, Math.round(estimate.queueMillis(item.lengthClass())));
        }
        Refusal refusal = estimate.refusalFor(item);
        if (refusal == null) {
            queue.add(item);
        }
        return refusal;
    }

    /**
     * Starts the attempts that can start now.
     *
     * @return the attempts to start, in order; the scheduler counts them as running from now on
     */
    public List<Assignment> startReady() {
        long now = clock.nanos();
        PlacementRound placement =
                new PlacementRound(slots.values(), options, clock.millis(), queue.hasWaiting(LengthClass.SHORT));
        List<Assignment> assignments = new ArrayList<>();
        Map<LengthClass, Integer> misses = new EnumMap<>(LengthClass.class);
        List<QueuedAttempt> ordered = queue.ordered(item -> options.order().rate(item, ownPrefillMillis(item), now));
        for (QueuedAttempt item : ordered) {
            if (misses.getOrDefault(item.lengthClass(), 0) >= MAX_MISSES) {
                continue;
            }
            List<UpstreamSlot> found = placement.find(item);
            if (found.isEmpty()) {
                misses.merge(item.lengthClass(), 1, Integer::sum);
            } else {
                assignments.add(start(item, found));
            }
        }
        return assignments;
    }

    /** Moves an attempt from the queue to its upstreams. */
    private Assignment start(QueuedAttempt item, List<UpstreamSlot> found) {
        AttemptId attempt = item.command().attempt();
        queue.remove(attempt);
        Work work = item.command().work();
        UpstreamSlot lead = found.get(0);
        long ahead = lead.outstandingBefore(item.lengthClass());
        long held = found.size() > 1 ? 0 : lead.prefixes().heldTokens(work.prefixFingerprints());
        long prefill = Math.max(0, work.promptTokens() - held);
        long engines = found.size();
        for (UpstreamSlot slot : found) {
            slot.start(attempt, item.lengthClass(), (item.memoryTokens() + engines - 1) / engines, prefill / engines);
        }
        lead.prefixes().add(work.prefixFingerprints());
        running.put(attempt, new Running(item, List.copyOf(found), clock.nanos(), ahead + prefill / engines));
        return new Assignment(item, found.stream().map(UpstreamSlot::upstream).toList());
    }

    /**
     * Records the first token of an answer.
     *
     * @param attempt the attempt
     */
    public void firstToken(AttemptId attempt) {
        Running run = running.get(attempt);
        if (run == null || run.firstTokenNanos != 0) {
            return;
        }
        run.firstTokenNanos = clock.nanos();
        run.slots.forEach(slot -> slot.prefillEnded(attempt));
        double millis = (double) (run.firstTokenNanos - run.startedNanos) / Deadline.NANOS_PER_MILLI;
        run.slots.get(0).predictor().recordPrefill(run.expectedTokens, millis);
    }

    /**
     * Records a complete answer.
     *
     * @param attempt the attempt
     * @param answerTokens tokens that this attempt produced
     */
    public void completed(AttemptId attempt, long answerTokens) {
        Running run = running.remove(attempt);
        if (run == null) {
            return;
        }
        UpstreamSlot lead = run.slots.get(0);
        run.slots.forEach(slot -> slot.end(attempt));
        lead.health().succeeded();
        double millis = (double) (clock.nanos() - run.firstTokenNanos) / Deadline.NANOS_PER_MILLI;
        if (run.firstTokenNanos != 0 && run.item.memoryTokens() > 0) {
            lead.predictor().recordDecode(answerTokens - 1, millis);
            estimate.recordAnswerLength(run.item, answerTokens);
        }
    }

    /**
     * Records the end of an attempt without a complete answer.
     *
     * @param attempt the attempt
     * @param upstreamFault whether the upstream caused the failure
     */
    public void failed(AttemptId attempt, boolean upstreamFault) {
        Running run = running.remove(attempt);
        if (run == null) {
            return;
        }
        run.slots.forEach(slot -> slot.end(attempt));
        UpstreamSlot lead = run.slots.get(0);
        if (upstreamFault) {
            lead.prefixes().correct(run.item.command().work().prefixFingerprints(), 0);
        }
        if (upstreamFault && mayEject(lead)) {
            lead.health().failed(clock.millis());
        }
    }

    /**
     * Tells whether an upstream may be ejected. At most half of a group is, as otherwise a fault of the work or the
     * network would eject the whole group.
     */
    private boolean mayEject(UpstreamSlot slot) {
        long ejected = slots.values().stream()
                .filter(s -> s != slot && s.health().isEjected())
                .count();
        return slot.health().isEjected() || (ejected + 1) * 2 <= Math.max(2, slots.size());
    }

    /**
     * Removes an attempt from the queue.
     *
     * @param attempt the attempt
     * @return whether it was waiting
     */
    public boolean cancelWaiting(AttemptId attempt) {
        return queue.remove(attempt) != null;
    }

    /**
     * Removes attempts that can no longer finish in time, so that their callers get a reply at once.
     *
     * @return the attempts removed
     */
    public List<QueuedAttempt> expire() {
        List<QueuedAttempt> expired = queue.matching(item -> estimate.cannotFinishInTime(item));
        expired.forEach(item -> queue.remove(item.command().attempt()));
        return expired;
    }

    /**
     * Marks an upstream as leaving because it announced this itself.
     *
     * @param upstream the upstream
     */
    public void markLeaving(UpstreamId upstream) {
        UpstreamSlot slot = slots.get(upstream);
        if (slot != null) {
            slot.setLeaving(true);
        }
    }

    /**
     * Returns the load that is reported to the callers of this group.
     *
     * @return the load
     */
    public GroupLoad load() {
        long now = clock.millis();
        int live = (int) slots.values().stream()
                .filter(slot -> !slot.isLeaving()
                        && (!slot.health().isEjected() || slot.health().acceptsWork(now, 0)))
                .count();
        return new GroupLoad(
                group,
                Math.round(estimate.firstTokenMillis(LengthClass.SHORT, 0)),
                Math.round(estimate.firstTokenMillis(LengthClass.LONG, 0)),
                live);
    }

    /**
     * Lists the status of the upstreams for operators.
     *
     * @return an entry for each upstream
     */
    public List<UpstreamStatus> status() {
        return slots.values().stream()
                .map(s -> new UpstreamStatus(
                        s.upstream().id(),
                        s.streams(),
                        s.heldTokens(),
                        s.isLeaving(),
                        s.health().isEjected()))
                .toList();
    }

    /**
     * Returns the number of waiting attempts.
     *
     * @return the length of the queue
     */
    public int waiting() {
        return queue.size();
    }

    /**
     * Returns the number of running attempts.
     *
     * @return the number
     */
    public int running() {
        return running.size();
    }

    /** Predicts the prefill of an attempt on an idle engine of the group. */
    private double ownPrefillMillis(QueuedAttempt item) {
        return estimate.ownPrefillMillis(item);
    }

    /** A running attempt. */
    private static final class Running {
        private final QueuedAttempt item;
        private final List<UpstreamSlot> slots;
        private final long startedNanos;
        private final long expectedTokens;
        private long firstTokenNanos;

        /** Creates the state of a started attempt. */
        private Running(QueuedAttempt item, List<UpstreamSlot> slots, long startedNanos, long expectedTokens) {
            this.item = item;
            this.slots = slots;
            this.startedNanos = startedNanos;
            this.expectedTokens = expectedTokens;
        }
    }
}
