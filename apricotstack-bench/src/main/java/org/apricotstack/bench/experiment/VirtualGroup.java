package org.apricotstack.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.apricotstack.bench.engine.EngineModel;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.engine.ModelledStream;
import org.apricotstack.bench.trace.TraceRecord;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.GroupScheduler;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.dispatch.SchedulerOptions;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Discrete-event simulation of one group: the real scheduler, modelled engines, and a virtual clock. The network, hosts
 * and other groups are not modelled.
 */
final class VirtualGroup {

    private static final GroupId GROUP = new GroupId("group");
    private static final long TICK_NANOS = 25_000_000;
    private static final int MAX_STREAMS = 64;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Policy policy;
    private final EngineSpeed speed;
    private final GroupScheduler scheduler;
    private final Map<UpstreamId, EngineModel> engines = new HashMap<>();
    private final Map<UpstreamId, Boolean> stepping = new HashMap<>();
    private final Map<AttemptId, Job> jobs = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<VirtualResult> results = new ArrayList<>();
    private final MonotonicClock clock = () -> this.nowNanos;
    private long nowNanos;
    private long sequence;
    private int open;

    /** Creates an idle group. */
    VirtualGroup(Policy policy, FleetLimits limits, EngineSpeed speed, int engineCount) {
        SchedulerOptions options = policy.options(limits);
        this.policy = policy;
        this.speed = speed;
        this.scheduler = new GroupScheduler(GROUP, options, clock);
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < engineCount; i++) {
            UpstreamId id = new UpstreamId("engine-" + i);
            upstreams.add(new Upstream(
                    id, GROUP, new Address("127.0.0.1", 1), speed.memoryTokens(), MAX_STREAMS, true, true, ""));
            engines.put(id, new EngineModel(speed));
        }
        scheduler.update(options, upstreams, Set.of());
    }

    /** Runs a trace, accelerated by a factor, and returns the result of each request. */
    List<VirtualResult> run(List<TraceRecord> trace, double speedUp, long timeLimitMillis) {
        for (TraceRecord record : trace) {
            long at = (long) (record.timestampMillis() * NANOS_PER_MILLI / speedUp);
            open++;
            schedule(at, () -> arrive(record, timeLimitMillis));
        }
        schedule(TICK_NANOS, this::tick);
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            event.action.run();
        }
        return results;
    }

    /** Returns the virtual time. */
    double nowSeconds() {
        return nowNanos / 1e9;
    }

    /** Schedules an action. */
    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, sequence++, action));
    }

    /** Offers a request to the scheduler. */
    private void arrive(TraceRecord record, long timeLimitMillis) {
        Work work = new Work(
                new ClientAccountId(record.account()),
                new ServiceId(record.service()),
                record.inputTokens(),
                record.outputTokens(),
                record.hashIds(),
                new byte[0],
                null,
                true,
                1);
        AttemptId attempt = new AttemptId(new RequestId("r" + sequence++), 1);
        DispatchCommand command =
                new DispatchCommand(attempt, GROUP, work, Deadline.in(clock, timeLimitMillis), 0, Set.of());
        QueuedAttempt item =
                new QueuedAttempt(command, FleetLimits.DEFAULT.lengthClass(record.inputTokens()), 0, clock.nanos());
        jobs.put(attempt, new Job(record, nowNanos));
        if (scheduler.offer(item) != null) {
            finish(attempt, VirtualResult.End.REFUSED);
            return;
        }
        dispatchReady();
    }

    /** Dispatches all requests that the scheduler releases. */
    private void dispatchReady() {
        for (Assignment assignment : scheduler.startReady()) {
            start(assignment);
        }
    }

    /** Adds an attempt to its engines; several engines prefill equal parts of the prompt in parallel. */
    private void start(Assignment assignment) {
        AttemptId attempt = assignment.queued().command().attempt();
        Job job = jobs.get(attempt);
        List<Upstream> chosen = assignment.upstreams();
        int priority =
                policy.hasPriorities() ? assignment.queued().lengthClass().ordinal() : 0;
        job.upstreams = chosen;
        int engineCount = chosen.size();
        for (Upstream upstream : chosen) {
            boolean lead = upstream == chosen.get(0);
            engines.get(upstream.id())
                    .add(new ModelledStream(
                            attempt.toString(),
                            (job.record.inputTokens() + engineCount - 1) / engineCount,
                            lead ? job.record.outputTokens() : 1,
                            priority,
                            1,
                            engineCount == 1 ? job.record.hashIds() : List.of()));
            step(upstream.id());
        }
    }

    /** Starts the next step of an engine, if it has work and no step is running. */
    private void step(UpstreamId id) {
        EngineModel engine = engines.get(id);
        if (stepping.getOrDefault(id, false) || !engine.hasWork()) {
            return;
        }
        EngineModel.Step step = engine.step();
        stepping.put(id, true);
        schedule(nowNanos + (long) (step.micros() * NANOS_PER_MICRO), () -> stepCompleted(id, step));
    }

    /** Processes the tokens of a completed step. */
    private void stepCompleted(UpstreamId id, EngineModel.Step step) {
        stepping.put(id, false);
        for (EngineModel.Token token : step.tokens()) {
            AttemptId attempt = AttemptId.parse(token.stream().name());
            Job job = jobs.get(attempt);
            if (job == null || !job.upstreams.get(0).id().equals(id)) {
                continue;
            }
            if (job.firstTokenNanos == 0) {
                job.firstTokenNanos = nowNanos;
                scheduler.firstToken(attempt);
            }
            if (token.index() + 1 == token.stream().outputTokens()) {
                scheduler.completed(attempt, token.stream().outputTokens());
                releaseHelpers(attempt, job);
                finish(attempt, VirtualResult.End.COMPLETED);
            }
        }
        dispatchReady();
        step(id);
    }

    /** Releases the memory that helpers hold for an attempt. */
    private void releaseHelpers(AttemptId attempt, Job job) {
        for (Upstream helper : job.upstreams.subList(1, job.upstreams.size())) {
            engines.get(helper.id()).release(attempt.toString());
        }
    }

    /** Removes queued requests that cannot meet their time limit, as the owner does. */
    private void tick() {
        for (QueuedAttempt item : scheduler.expire()) {
            finish(item.command().attempt(), VirtualResult.End.EXPIRED);
        }
        dispatchReady();
        if (open > 0) {
            schedule(nowNanos + TICK_NANOS, this::tick);
        }
    }

    /** Records the result of a request. */
    private void finish(AttemptId attempt, VirtualResult.End outcome) {
        Job job = jobs.remove(attempt);
        open--;
        double idle = speed.idleFirstTokenMillis(job.record.inputTokens());
        double first = job.firstTokenNanos == 0 ? -1 : (job.firstTokenNanos - job.arrivedNanos) / NANOS_PER_MILLI;
        double total = (nowNanos - job.arrivedNanos) / NANOS_PER_MILLI;
        results.add(new VirtualResult(job.record.inputTokens(), outcome, first, total, idle));
    }

    /** A request in progress. */
    private static final class Job {
        private final TraceRecord record;
        private final long arrivedNanos;
        private long firstTokenNanos;
        private List<Upstream> upstreams = List.of();

        /** Creates a request at its arrival. */
        private Job(TraceRecord record, long arrivedNanos) {
            this.record = record;
            this.arrivedNanos = arrivedNanos;
        }
    }

    /**
     * A scheduled event.
     *
     * @param atNanos virtual time of the event, in nanoseconds
     * @param sequence tie-break that keeps the order of events at the same time
     * @param action what the event does
     */
    private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
