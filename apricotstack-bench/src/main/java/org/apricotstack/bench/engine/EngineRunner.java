package org.apricotstack.bench.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.bench.engine.EngineFaults.Fault;
import org.apricotstack.core.owner.HeldStream;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** Runs an engine model in real time and sends the pieces of the answers. All state is touched by one worker only. */
final class EngineRunner implements AutoCloseable {

    /** Steps while a fault stops the engine are looked at again after this time, in milliseconds. */
    private static final long FAULT_LOOK_MILLIS = 5;

    private final EngineModel model;
    private final EngineFaults faults;
    private final MonotonicClock clock;
    private final Scheduler.Worker worker;
    private final double pace;
    private final Map<String, Open> open = new HashMap<>();
    private final Map<String, Open> holders = new HashMap<>();
    private boolean stepping;

    /**
     * Creates a runner.
     *
     * @param speed speed and size of the engine
     * @param faults the faults that it has
     * @param clock the local clock
     * @param timer runs the steps
     * @param pace how much faster than modelled the steps run
     */
    EngineRunner(EngineSpeed speed, EngineFaults faults, MonotonicClock clock, Scheduler timer, double pace) {
        this.model = new EngineModel(speed);
        this.faults = faults;
        this.clock = clock;
        this.worker = timer.createWorker();
        this.pace = pace;
    }

    /**
     * A request to run.
     *
     * @param stream the request as modelled
     * @param digest the digest of its prompt
     * @param resumeOffset tokens of the answer that are not wanted again
     * @param owner who asked
     * @param timeLimitMillis the time limit that came with it
     */
    record Job(ModelledStream stream, long digest, long resumeOffset, String owner, long timeLimitMillis) {}

    /** Runs a request; the flow ends without an element if it was refused. */
    Flux<String> run(Job job) {
        Sinks.Many<String> sink = Sinks.many().unicast().onBackpressureBuffer();
        worker.schedule(() -> start(job, sink));
        return sink.asFlux().doOnCancel(() -> worker.schedule(() -> disconnected(job.stream.name(), sink)));
    }

    /** Adds a request to the model. */
    private void start(Job job, Sinks.Many<String> sink) {
        if (!model.add(job.stream)) {
            sink.tryEmitComplete();
            return;
        }
        Open entry = new Open(job, sink, clock.millis());
        open.put(job.stream.name(), entry);
        holders.put(job.stream.name(), entry);
        sink.tryEmitNext(": accepted\n\n");
        stepSoon(0);
    }

    /** Schedules the next step. */
    private void stepSoon(long micros) {
        if (!stepping) {
            stepping = true;
            worker.schedule(this::step, micros, TimeUnit.MICROSECONDS);
        }
    }

    /** Computes a step; its pieces are sent when its time has passed. */
    private void step() {
        stepping = false;
        if (!model.hasWork()) {
            return;
        }
        if (faults.has(Fault.PAUSED)) {
            stepSoon(TimeUnit.MILLISECONDS.toMicros(FAULT_LOOK_MILLIS));
            return;
        }
        EngineModel.Step step = model.step();
        stepping = true;
        worker.schedule(
                () -> {
                    stepping = false;
                    step.tokens().forEach(this::send);
                    stepSoon(0);
                },
                (long) (step.micros() / pace),
                TimeUnit.MICROSECONDS);
    }

    /** Sends one token, and the end after the last. */
    private void send(EngineModel.Token token) {
        Open entry = open.get(token.stream().name());
        if (token.stream().isFinished() && token.index() + 1 == token.stream().outputTokens()) {
            open.remove(token.stream().name());
            holders.remove(token.stream().name());
        }
        if (entry == null || faults.has(Fault.SILENT_STREAMS)) {
            return;
        }
        boolean wanted = token.index() >= entry.job.resumeOffset;
        if (wanted && faults.has(Fault.CUT) && token.index() > entry.job.resumeOffset) {
            open.remove(token.stream().name());
            model.release(token.stream().name());
            holders.remove(token.stream().name());
            entry.sink.tryEmitComplete();
            return;
        }
        if (wanted) {
            entry.sink.tryEmitNext(chunk(entry, token.index()));
        }
        if (token.index() + 1 == token.stream().outputTokens()) {
            entry.sink.tryEmitNext(end(entry));
            entry.sink.tryEmitComplete();
        }
    }

    /** Writes a piece of one token. */
    private String chunk(Open entry, long index) {
        ObjectNode document = document(entry);
        document.put("offset", index).put("count", 1);
        document.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", AnswerText.token(entry.job.digest, index))
                .putNull("finish_reason");
        return "data: " + Json.write(document) + "\n\n";
    }

    /** Writes the end of an answer. */
    private String end(Open entry) {
        ObjectNode document = document(entry);
        document.putArray("choices").addObject().put("index", 0).put("text", "").put("finish_reason", "length");
        ModelledStream stream = entry.job.stream;
        document.putObject("usage")
                .put("prompt_tokens", stream.promptTokens())
                .put("completion_tokens", stream.outputTokens())
                .putObject("prompt_tokens_details")
                .put("cached_tokens", stream.cachedTokens());
        return "data: " + Json.write(document) + "\n\ndata: [DONE]\n\n";
    }

    /** Starts a document; a crossed one names another request. */
    private ObjectNode document(Open entry) {
        String name = entry.job.stream.name();
        return Json.STRICT.createObjectNode().put("id", faults.has(Fault.CROSSED) ? "other-" + name : name);
    }

    /** Sends a sign of life on each open stream. */
    void heartbeat() {
        worker.schedule(() -> {
            if (!faults.has(Fault.SILENT_STREAMS) && !faults.has(Fault.PAUSED)) {
                open.values().forEach(entry -> entry.sink.tryEmitNext(": heartbeat\n\n"));
            }
        });
    }

    /** Takes the loss of a connection: the memory is released, unless the engine has the fault that keeps it. */
    private void disconnected(String name, Sinks.Many<String> sink) {
        Open entry = open.get(name);
        if (entry != null && entry.sink == sink && !faults.has(Fault.LEAKING)) {
            release(name);
        }
    }

    /** Releases what is held under a name. */
    private boolean release(String name) {
        Open entry = open.remove(name);
        holders.remove(name);
        if (entry != null) {
            entry.sink.tryEmitComplete();
        }
        return model.release(name);
    }

    /** Releases what is held under a name, from another thread. */
    void releaseSoon(String name) {
        worker.schedule(() -> release(name));
    }

    /** Reserves memory and calls back with whether there was room. */
    void reserve(String name, long tokens, String owner, long timeLimitMillis, Consumer<Boolean> done) {
        worker.schedule(() -> {
            boolean reserved = model.reserve(name, tokens);
            if (reserved) {
                ModelledStream holder = new ModelledStream(name, tokens, 0, 0, 1, List.of());
                holders.put(name, new Open(new Job(holder, 0, 0, owner, timeLimitMillis), null, clock.millis()));
            }
            done.accept(reserved);
        });
    }

    /** Lists what is held and calls back with it. */
    void held(Consumer<List<HeldByName>> done) {
        worker.schedule(() -> {
            List<HeldByName> held = new ArrayList<>();
            for (String name : model.names()) {
                Open entry = holders.get(name);
                if (entry != null) {
                    long age = clock.millis() - entry.sinceMillis;
                    held.add(new HeldByName(
                            entry.job.owner, new HeldStream(name, null, age, entry.job.timeLimitMillis)));
                }
            }
            done.accept(held);
        });
    }

    /**
     * Something held, with its owner as text.
     *
     * @param owner who asked for it
     * @param stream what is held
     */
    record HeldByName(String owner, HeldStream stream) {}

    /** Reads the memory held and calls back with it. */
    void heldTokens(LongConsumer done) {
        worker.schedule(() -> done.accept(model.heldTokens()));
    }

    @Override
    public void close() {
        worker.dispose();
    }

    /**
     * A request that runs.
     *
     * @param job the request
     * @param sink takes its pieces; {@code null} for a reservation
     * @param sinceMillis when it began, in the local clock
     */
    private record Open(Job job, Sinks.Many<String> sink, long sinceMillis) {}
}
