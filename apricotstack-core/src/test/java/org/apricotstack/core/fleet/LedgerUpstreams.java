package org.apricotstack.core.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.owner.HeldStream;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** All upstreams of a seeded schedule. They count the runs per request body, hold memory, and fail at random. */
final class LedgerUpstreams {

    /** Number of chunks of each answer. */
    static final int CHUNKS = 5;

    private final VirtualTimeScheduler time;
    private final Random random;
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Held> held = new TreeMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private double faultShare;

    LedgerUpstreams(VirtualTimeScheduler time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Sets the share of attempts that fail. */
    void setFaults(double share) {
        faultShare = share;
    }

    /** Makes an upstream leave: it refuses new work itself. */
    void leave(UpstreamId upstream) {
        leaving.add(upstream);
    }

    /** Returns how often a request was run. */
    int runs(String body) {
        return runs.getOrDefault(body, 0);
    }

    /** Returns the memory that engines still hold; plain services hold none. */
    List<String> held() {
        return held.keySet().stream().filter(name -> name.startsWith("m-")).toList();
    }

    /** Returns the correct chunk of an answer at an index. */
    static String chunk(String body, long index) {
        return body + "#" + index + ";";
    }

    /** Runs an attempt for an owner process. */
    Flux<AttemptEvent> run(ProcessId owner, NodeScheduler node, Assignment assignment, long remainingMillis) {
        DispatchCommand command = assignment.queued().command();
        UpstreamId lead = assignment.upstreams().get(0).id();
        return Flux.create(sink -> time.schedule(
                () -> arrive(new Job(owner, node, command, lead, remainingMillis, sink)),
                1 + random.nextInt(5),
                TimeUnit.MILLISECONDS));
    }

    /** Accepts an attempt, even if its owner has died since it was sent. */
    private void arrive(Job job) {
        if (leaving.contains(job.upstream)) {
            job.fail(Refusal.notRun(RefusalReason.UPSTREAM_LEAVING, 0));
            return;
        }
        double draw = random.nextDouble();
        if (draw < faultShare / 4) {
            job.fail(Refusal.notRun(RefusalReason.UPSTREAM_REFUSED, 0));
            return;
        }
        String body = new String(job.command.work().body(), StandardCharsets.UTF_8);
        runs.merge(body, 1, Integer::sum);
        String name = job.upstream + "/" + job.command.attempt();
        held.put(name, new Held(job.owner, time.now(TimeUnit.MILLISECONDS), job.remainingMillis));
        Fault fault = Fault.NONE;
        if (draw < faultShare) {
            fault = Fault.values()[1 + random.nextInt(Fault.values().length - 1)];
        }
        sendChunk(job, body, name, job.command.resumeOffset(), fault);
    }

    /** Sends one chunk and schedules the next. */
    private void sendChunk(Job job, String body, String name, long index, Fault fault) {
        if (!held.containsKey(name)) {
            return;
        }
        boolean halfSent = index >= CHUNKS / 2;
        if (halfSent && fault == Fault.SILENT) {
            return;
        }
        if (halfSent && fault == Fault.CUT) {
            held.remove(name);
            job.complete();
            return;
        }
        if (halfSent && fault == Fault.BROKEN) {
            job.fail(Refusal.unknown(RefusalReason.UPSTREAM_FAILED));
            return;
        }
        AttemptId id = job.command.attempt();
        if (index == CHUNKS) {
            held.remove(name);
            job.emit(new AttemptEvent(id, new AttemptSignal.Completed(CHUNKS, 1, 0, "stop")));
            job.complete();
            return;
        }
        AttemptId statedId = halfSent && fault == Fault.CROSSED ? new AttemptId(id.request(), id.number() + 7) : id;
        byte[] data = chunk(body, index).getBytes(StandardCharsets.UTF_8);
        job.emit(new AttemptEvent(statedId, new AttemptSignal.Chunk(index, 1, data)));
        time.schedule(
                () -> sendChunk(job, body, name, index + 1, fault), 1 + random.nextInt(60), TimeUnit.MILLISECONDS);
    }

    /** Releases the memory that an upstream holds for an attempt. */
    Mono<Void> release(Upstream upstream, AttemptId attempt) {
        return Mono.defer(() -> {
            if (random.nextDouble() < faultShare) {
                return Mono.error(new IllegalStateException("release lost"));
            }
            held.remove(upstream.id() + "/" + attempt);
            return Mono.<Void>empty();
        });
    }

    /** Lists the memory that an upstream holds. */
    Mono<List<HeldStream>> list(Upstream upstream) {
        return Mono.fromSupplier(() -> {
            List<HeldStream> list = new ArrayList<>();
            held.forEach((name, entry) -> {
                if (name.startsWith(upstream.id() + "/")) {
                    long age = time.now(TimeUnit.MILLISECONDS) - entry.sinceMillis;
                    String attempt = name.substring(name.indexOf('/') + 1);
                    list.add(new HeldStream(attempt, entry.owner, age, entry.limitMillis));
                }
            });
            return list;
        });
    }

    /** Reports no state, so that no engine is sent an order; orders are not part of these schedules. */
    Mono<DesiredUpstreamState> state(Upstream upstream) {
        return Mono.empty();
    }

    /** The fault of an attempt after it was accepted. */
    private enum Fault {
        NONE,
        SILENT,
        CUT,
        BROKEN,
        CROSSED
    }

    /**
     * Held memory.
     *
     * @param owner the owner process that requested it
     * @param sinceMillis the time since when it is held
     * @param limitMillis the time limit that came with it
     */
    private record Held(ProcessId owner, long sinceMillis, long limitMillis) {}

    /**
     * An attempt at an upstream.
     *
     * @param owner the owner process
     * @param node its timer
     * @param command the attempt
     * @param upstream the upstream
     * @param remainingMillis the time limit
     * @param sink receives the events
     */
    private record Job(
            ProcessId owner,
            NodeScheduler node,
            DispatchCommand command,
            UpstreamId upstream,
            long remainingMillis,
            FluxSink<AttemptEvent> sink) {

        private void emit(AttemptEvent event) {
            node.run(() -> sink.next(event));
        }

        private void fail(Refusal refusal) {
            node.run(() -> sink.error(refusal.toException()));
        }

        private void complete() {
            node.run(sink::complete);
        }
    }

    /** The longest time that an attempt may take after all faults have ended. */
    static Duration longestLimit() {
        return Duration.ofSeconds(4);
    }
}
