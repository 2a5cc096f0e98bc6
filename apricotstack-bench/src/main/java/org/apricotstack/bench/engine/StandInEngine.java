package org.apricotstack.bench.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.hash.Hashing;
import io.netty.buffer.Unpooled;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.upstream.EngineProtocol;
import org.apricotstack.bench.engine.EngineFaults.Fault;
import org.apricotstack.core.dispatch.PrefixIndex;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.time.MonotonicClock;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A simulated engine with an HTTP server and fault injection. */
public final class StandInEngine implements AutoCloseable {

    private static final Duration HEARTBEAT = Duration.ofMillis(200);
    private static final int BYTES_PER_TOKEN = 4;
    private static final int BLOCK_BYTES = PrefixIndex.TOKENS_PER_FINGERPRINT * BYTES_PER_TOKEN;
    private static final int UNAVAILABLE = 503;

    private final EngineFaults faults = new EngineFaults();
    private final EngineState state;
    private final EngineRunner runner;
    private final DisposableServer server;
    private final Disposable heartbeats;
    private final AtomicLong runs = new AtomicLong();

    /**
     * Starts an engine.
     *
     * @param listen the address; port 0 for any free port
     * @param speed its speed and size
     * @param pace speed relative to the model
     * @param refusesOldFencing whether it refuses orders with an outdated fencing number
     */
    public StandInEngine(Address listen, EngineSpeed speed, double pace, boolean refusesOldFencing) {
        MonotonicClock clock = System::nanoTime;
        Scheduler timer = Schedulers.parallel();
        this.state = new EngineState(refusesOldFencing);
        this.runner = new EngineRunner(speed, faults, clock, timer, pace);
        this.server = HttpServer.create()
                .host(listen.ip())
                .port(listen.port())
                .route(this::routes)
                .bindNow();
        this.heartbeats = Flux.interval(HEARTBEAT, timer).subscribe(tick -> runner.heartbeat());
    }

    /** Registers the routes. */
    private void routes(HttpServerRoutes routes) {
        routes.post(EngineProtocol.COMPLETIONS, this::complete)
                .post(EngineProtocol.RESERVATIONS, this::reserve)
                .get(EngineProtocol.HELD, this::held)
                .delete(EngineProtocol.HELD + "/{name}", this::release)
                .get(EngineProtocol.STATE, this::state)
                .post(EngineProtocol.STATE, this::order)
                .post("/faults/{fault}", (request, response) -> setFault(request, response, true))
                .delete("/faults/{fault}", (request, response) -> setFault(request, response, false));
    }

    /** Runs a completion. */
    private Publisher<Void> complete(HttpServerRequest request, HttpServerResponse response) {
        if (faults.has(Fault.LEAVING)) {
            return response.status(UNAVAILABLE)
                    .header(EngineProtocol.LEAVING, "true")
                    .send();
        }
        // The event loops are shared with the routers of the process, and long prompts take long to parse and hash.
        Mono<byte[]> received = request.receive().aggregate().asByteArray().publishOn(Schedulers.boundedElastic());
        return received.flatMap(body -> {
            try {
                JsonNode document = Json.STRICT.readTree(body);
                return Mono.from(stream(response, job(request, document)));
            } catch (IOException e) {
                return Mono.from(response.status(400).send());
            }
        });
    }

    /** Parses the job of a request. */
    private static EngineRunner.Job job(HttpServerRequest request, JsonNode document) {
        byte[] prompt = document.path("prompt").asText().getBytes(StandardCharsets.UTF_8);
        String helpers = request.requestHeaders().get(EngineProtocol.HELPERS, "");
        int engines = helpers.isEmpty() ? 1 : helpers.split(",").length + 1;
        String name = request.requestHeaders().get(EngineProtocol.ATTEMPT, "unnamed");
        ModelledStream stream = new ModelledStream(
                name,
                Math.max(1, (prompt.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN),
                document.path("max_tokens").asLong(16),
                request.requestHeaders().getInt(EngineProtocol.PRIORITY, 0),
                engines,
                blocks(prompt));
        return new EngineRunner.Job(
                stream,
                AnswerText.digest(prompt),
                request.requestHeaders().getInt(EngineProtocol.RESUME_OFFSET, 0),
                request.requestHeaders().get(EngineProtocol.OWNER, ""),
                request.requestHeaders().getInt(EngineProtocol.TIME_LIMIT, Integer.MAX_VALUE));
    }

    /** Computes a fingerprint for each complete block of a prompt, over the prefix that ends with the block. */
    private static List<Long> blocks(byte[] prompt) {
        List<Long> blocks = new ArrayList<>();
        long previous = 0;
        for (int at = 0; at + BLOCK_BYTES <= prompt.length; at += BLOCK_BYTES) {
            previous = Hashing.murmur3_128()
                    .newHasher()
                    .putLong(previous)
                    .putBytes(prompt, at, BLOCK_BYTES)
                    .hash()
                    .asLong();
            blocks.add(previous);
        }
        return blocks;
    }

    /** Streams the chunks of an answer; a request that does not fit is refused as not run. */
    private Publisher<Void> stream(HttpServerResponse response, EngineRunner.Job job) {
        return runner.run(job)
                .switchOnFirst((first, all) -> {
                    if (!first.hasValue()) {
                        return Flux.from(response.status(UNAVAILABLE)
                                .header(EngineProtocol.NOT_RUN, "true")
                                .send());
                    }
                    runs.incrementAndGet();
                    response.sse();
                    return Flux.from(response.send(
                                    all.map(text -> Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8))),
                                    buffer -> true)
                            .then());
                })
                .then();
    }

    /** Reserves memory. */
    private Publisher<Void> reserve(HttpServerRequest request, HttpServerResponse response) {
        String name = request.requestHeaders().get(EngineProtocol.ATTEMPT, "unnamed");
        long tokens = Long.parseLong(request.requestHeaders().get(EngineProtocol.TOKENS, "0"));
        String owner = request.requestHeaders().get(EngineProtocol.OWNER, "");
        long limit = request.requestHeaders().getInt(EngineProtocol.TIME_LIMIT, Integer.MAX_VALUE);
        return Mono.<Boolean>create(sink -> runner.reserve(name, tokens, owner, limit, sink::success))
                .flatMap(reserved ->
                        Mono.from(response.status(reserved ? 200 : UNAVAILABLE).send()));
    }

    /** Repeats the id of a query. */
    private static void repeatQueryId(HttpServerRequest request, HttpServerResponse response) {
        String id = request.requestHeaders().get(EngineProtocol.QUERY);
        if (id != null) {
            response.header(EngineProtocol.QUERY, id);
        }
    }

    /** Reports the current state. */
    private Publisher<Void> state(HttpServerRequest request, HttpServerResponse response) {
        repeatQueryId(request, response);
        return response.sendString(Mono.fromSupplier(state::write));
    }

    /** Lists the streams and reservations. */
    private Publisher<Void> held(HttpServerRequest request, HttpServerResponse response) {
        repeatQueryId(request, response);
        return response.sendString(Mono.<List<EngineRunner.HeldByName>>create(sink -> runner.held(sink::success))
                .map(held -> {
                    ArrayNode list = Json.STRICT.createArrayNode();
                    held.forEach(entry -> list.addObject()
                            .put("name", entry.stream().name())
                            .put("owner", entry.owner())
                            .put("ageMillis", entry.stream().ageMillis())
                            .put("timeLimitMillis", entry.stream().timeLimitMillis()));
                    return Json.write(list);
                }));
    }

    /** Releases a stream or reservation. */
    private Publisher<Void> release(HttpServerRequest request, HttpServerResponse response) {
        runner.releaseAsync(request.param("name"));
        return response.status(204).send();
    }

    /** Handles an order. */
    private Publisher<Void> order(HttpServerRequest request, HttpServerResponse response) {
        return request.receive().aggregate().asByteArray().flatMap(body -> {
            try {
                boolean accepted = state.order(Json.STRICT.readTree(body));
                return Mono.from(response.status(accepted ? 200 : 409).send());
            } catch (IOException e) {
                return Mono.from(response.status(400).send());
            }
        });
    }

    /** Injects or removes a fault by name. */
    private Publisher<Void> setFault(HttpServerRequest request, HttpServerResponse response, boolean start) {
        try {
            Fault fault = Fault.valueOf(request.param("fault"));
            if (start) {
                faults.start(fault);
            } else {
                faults.end(fault);
            }
            return response.status(204).send();
        } catch (IllegalArgumentException e) {
            return response.status(404).send();
        }
    }

    /**
     * Returns the faults, through which tests inject and remove them.
     *
     * @return the faults
     */
    public EngineFaults faults() {
        return faults;
    }

    /**
     * Returns the number of completions started.
     *
     * @return the number
     */
    public long runs() {
        return runs.get();
    }

    /**
     * Returns the revision that the engine was ordered to load.
     *
     * @return the revision
     */
    public String revision() {
        return state.revision();
    }

    /**
     * Sends an order to the engine, from any sender, whether or not it is the owner.
     *
     * @param order the order as JSON
     * @return whether the engine accepted it
     */
    public boolean sendOrder(String order) {
        try {
            return state.order(Json.STRICT.readTree(order));
        } catch (IOException e) {
            throw new IllegalArgumentException("The order is not valid JSON.", e);
        }
    }

    /**
     * Returns the fencing numbers of the accepted orders, in order.
     *
     * @return the numbers
     */
    public List<Long> acceptedFencingNumbers() {
        return state.accepted();
    }

    /**
     * Returns the memory that is held.
     *
     * @return tokens
     */
    public long heldTokens() {
        return Mono.<Long>create(sink -> runner.heldTokens(sink::success)).block(Duration.ofSeconds(10));
    }

    /**
     * Returns the address.
     *
     * @return where the engine listens
     */
    public Address address() {
        return new Address(server.host(), server.port());
    }

    /** Stops immediately: connections are closed, and all state is lost. */
    @Override
    public void close() {
        heartbeats.dispose();
        runner.close();
        server.disposeNow();
    }
}
