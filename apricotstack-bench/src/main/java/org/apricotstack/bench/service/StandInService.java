package org.apricotstack.bench.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import org.apricotstack.adapters.upstream.EngineProtocol;
import org.apricotstack.bench.engine.EngineFaults;
import org.apricotstack.bench.engine.EngineFaults.Fault;
import org.apricotstack.core.id.Address;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A simulated replica of a plain service: it counts each call by its body, and returns the body in the response. */
public final class StandInService implements AutoCloseable {

    private final EngineFaults faults = new EngineFaults();
    private final Ledger ledger;
    private final Duration delay;
    private final DisposableServer server;

    /** Counts the executions of each call over all replicas that share the ledger. */
    public static final class Ledger {
        private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

        /**
         * Counts an execution.
         *
         * @param body the body of the call
         */
        public void ran(String body) {
            runs.computeIfAbsent(body, key -> new AtomicInteger()).incrementAndGet();
        }

        /**
         * Returns the number of executions of a call.
         *
         * @param body the body of the call
         * @return the number
         */
        public int runs(String body) {
            AtomicInteger count = runs.get(body);
            return count == null ? 0 : count.get();
        }

        /**
         * Returns the maximum number of executions of any call.
         *
         * @return the number
         */
        public int maxRuns() {
            return runs.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
        }
    }

    /**
     * Starts a replica.
     *
     * @param listen the address; port 0 for any free port
     * @param ledger counts the executions
     * @param delay duration of a call
     */
    public StandInService(Address listen, Ledger ledger, Duration delay) {
        this.ledger = ledger;
        this.delay = delay;
        this.server = HttpServer.create()
                .host(listen.ip())
                .port(listen.port())
                .handle(this::call)
                .bindNow();
    }

    /** Handles one call. */
    private Publisher<Void> call(HttpServerRequest request, HttpServerResponse response) {
        if (faults.has(Fault.LEAVING)) {
            return response.status(503).header(EngineProtocol.LEAVING, "true").send();
        }
        return request.receive()
                .aggregate()
                .asString(StandardCharsets.UTF_8)
                .defaultIfEmpty("")
                .flatMap(body -> {
                    ledger.ran(body);
                    if (faults.has(Fault.DIES_AFTER_RUN)) {
                        response.withConnection(
                                connection -> connection.channel().close());
                        return Mono.<Void>never();
                    }
                    if (faults.has(Fault.SILENT_STREAMS)) {
                        return Mono.<Void>never();
                    }
                    byte[] answer = ("done " + body).getBytes(StandardCharsets.UTF_8);
                    String attempt = request.requestHeaders().get(EngineProtocol.ATTEMPT, "");
                    return Mono.delay(delay)
                            .flatMap(done -> Mono.from(response.status(200)
                                    .header("Content-Type", "text/plain")
                                    .header("Content-Length", "" + answer.length)
                                    .header(EngineProtocol.ATTEMPT, attempt)
                                    .sendObject(Unpooled.wrappedBuffer(answer))));
                });
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
     * Returns the address.
     *
     * @return where the replica listens
     */
    public Address address() {
        return new Address(server.host(), server.port());
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
