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

/** Runs an engine model in real time and sends the chunks of the answers. All state is confined to one worker. */
final class EngineRunner implements AutoCloseable {

    /** Interval at which a paused engine checks whether the fault has ended, in milliseconds. */
    private static final long FAULT_POLL_MILLIS = 5;

    private final EngineModel model;
    private final EngineFaults faults;
    private final MonotonicClock clock;
    private final Scheduler.Worker worker;
    private final double pace;
    private final Map<String, Entry> open = new HashMap<>();
    private final Map<String, Entry> holders = new HashMap<>();
    private boolean stepping;

    /**
     * Creates a runner.
     *
     * @param speed speed and size of the engine
     * @param faults the faults injected into it
     * @param clock the local monotonic clock
     * @param timer scheduler for the steps
     * @param pace speed of the steps relative to the model
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
     * @param stream the modelled request
     * @param digest the digest of its prompt
     * @param resumeOffset number of answer tokens to skip, as the caller has them already
     * @param owner router that sent the request
     * @param timeLimitMillis time limit of the request, in milliseconds
     */
    record Job(ModelledStream stream, long digest, long resumeOffset, String owner, long timeLimitMillis) {}

    /** Runs a request; the returned flux completes empty if the request was refused. */
    Flux<String> run(Job job) {
        Sinks.Many<String> sink = Sinks.many().unicast().onBackpressureBuffer();
        worker.schedule(() -> start(job, sink));
        return sink.asFlux().doOnCancel(() -> worker.schedule(() -> disconnected(job.stream.name(), sink)));
    }

    /** Adds a request to the model and confirms it. */
    private void start(Job job, Sinks.Many<String> sink) {
        if (!model.add(job.stream)) {
            sink.tryEmitComplete();
            return;
        }
        Entry entry = new Entry(job, sink, clock.millis());
        open.put(job.stream.name(), entry);
        holders.put(job.stream.name(), entry);
        sink.tryEmitNext(": accepted\n\n");
        scheduleStep(0);
    }

    /** Schedules the next step unless one is scheduled. */
    private void scheduleStep(long micros) {
        if (!stepping) {
            stepping = true;
            worker.schedule(this::step, micros, TimeUnit.MICROSECONDS);
        }
    }

    /** Computes a step; its tokens are sent after its duration. */
    private void step() {
        stepping = false;
        if (!model.hasWork()) {
            return;
        }
        if (faults.has(Fault.PAUSED)) {
            scheduleStep(TimeUnit.MILLISECONDS.toMicros(FAULT_POLL_MILLIS));
            return;
        }
        EngineModel.Step step = model.step();
        stepping = true;
        worker.schedule(
                () -> {
                    stepping = false;
                    step.tokens().forEach(this::send);
                    scheduleStep(0);
                },
                (long) (step.micros() / pace),
                TimeUnit.MICROSECONDS);
    }

    /** Sends one token, and the end of the answer after the last token. */
    private void send(EngineModel.Token token) {
        Entry entry = open.get(token.stream().name());
        if (token.stream().isFinished() && token.index() + 1 == token.stream().outputTokens()) {
            open.remove(token.stream().name());
            holders.remove(token.stream().name());
        }
        if (entry == null || faults.has(Fault.SILENT_STREAMS)) {
            return;
        }
        boolean requested = token.index() >= entry.job.resumeOffset;
        if (requested && faults.has(Fault.CUT) && token.index() > entry.job.resumeOffset) {
            open.remove(token.stream().name());
            model.release(token.stream().name());
            holders.remove(token.stream().name());
            entry.sink.tryEmitComplete();
            return;
        }
        if (requested) {
            entry.sink.tryEmitNext(chunk(entry, token.index()));
        }
        if (token.index() + 1 == token.stream().outputTokens()) {
            entry.sink.tryEmitNext(end(entry));
            entry.sink.tryEmitComplete();
        }
    }

    /** Returns the chunk of one token. */
    private String chunk(Entry entry, long index) {
        ObjectNode document = document(entry);
        document.put("offset", index).put("count", 1);
        document.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", AnswerText.token(entry.job.digest, index))
                .putNull("finish_reason");
        return "data: " + Json.write(document) + "\n\n";
    }

    /** Returns the last chunk of an answer, with the token usage. */
    private String end(Entry entry) {
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

    /** Creates a document with the request id; the fault CROSSED replaces it by another id. */
    private ObjectNode document(Entry entry) {
        String name = entry.job.stream.name();
        return Json.STRICT.createObjectNode().put("id", faults.has(Fault.CROSSED) ? "other-" + name : name);
    }

    /** Sends a heartbeat on each open stream. */
    void heartbeat() {
        worker.schedule(() -> {
            if (!faults.has(Fault.SILENT_STREAMS) && !faults.has(Fault.PAUSED)) {
                open.values().forEach(entry -> entry.sink.tryEmitNext(": heartbeat\n\n"));
            }
        });
    }

    /** Handles a lost connection: releases the memory of the stream, unless the fault LEAKING is active. */
    private void disconnected(String name, Sinks.Many<String> sink) {
        Entry entry = open.get(name);
        if (entry != null && entry.sink == sink && !faults.has(Fault.LEAKING)) {
            release(name);
        }
    }

    /** Releases a stream or reservation. */
    private boolean release(String name) {
        Entry entry = open.remove(name);
        holders.remove(name);
        if (entry != null) {
            entry.sink.tryEmitComplete();
        }
        return model.release(name);
    }

    /** Releases a stream or reservation; can be called from any thread. */
    void releaseAsync(String name) {
        worker.schedule(() -> release(name));
    }

    /** Reserves memory and passes to the callback whether enough was free. */
    void reserve(String name, long tokens, String owner, long timeLimitMillis, Consumer<Boolean> done) {
        worker.schedule(() -> {
            boolean reserved = model.reserve(name, tokens);
            if (reserved) {
                ModelledStream holder = new ModelledStream(name, tokens, 0, 0, 1, List.of());
                holders.put(name, new Entry(new Job(holder, 0, 0, owner, timeLimitMillis), null, clock.millis()));
            }
            done.accept(reserved);
        });
    }

    /** Passes all streams and reservations to the callback. */
    void held(Consumer<List<HeldByName>> done) {
        worker.schedule(() -> {
            List<HeldByName> held = new ArrayList<>();
            for (String name : model.names()) {
                Entry entry = holders.get(name);
                if (entry != null) {
                    long age = clock.millis() - entry.startMillis;
                    held.add(new HeldByName(
                            entry.job.owner, new HeldStream(name, null, age, entry.job.timeLimitMillis)));
                }
            }
            done.accept(held);
        });
    }

    /**
     * A stream or reservation with its owner as text.
     *
     * @param owner router that sent the request for it
     * @param stream the stream or reservation
     */
    record HeldByName(String owner, HeldStream stream) {}

    /** Passes the held memory, in tokens, to the callback. */
    void heldTokens(LongConsumer done) {
        worker.schedule(() -> done.accept(model.heldTokens()));
    }

    @Override
    public void close() {
        worker.dispose();
    }

    /**
     * A running request or a reservation.
     *
     * @param job the request
     * @param sink receives the chunks; {@code null} for a reservation
     * @param startMillis start time by the local clock, in milliseconds
     */
    private record Entry(Job job, Sinks.Many<String> sink, long startMillis) {}
}
