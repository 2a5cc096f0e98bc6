package org.apricotstack.adapters.upstream;

import java.time.Duration;
import java.util.List;

import io.netty.channel.ChannelOption;
import org.apricotstack.adapters.http.ResponseHeadGuard;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.owner.HeldStream;
import org.apricotstack.core.owner.UpstreamGateway;
import org.apricotstack.core.stream.AttemptEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls engines and plain services over HTTP.
 *
 * <p>Work that must run at most once uses a new connection: the upstream may close a pooled connection just as the
 * request is sent, and then it is unknown whether the request was received. The HTTP library's own retries are disabled
 * for the same reason.
 */
public final class HttpUpstreamGateway implements UpstreamGateway, AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 800;
    private static final int MAX_CONNECTIONS = 512;
    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration MAX_IDLE = Duration.ofSeconds(20);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration QUERY_MAX_IDLE = Duration.ofMinutes(2);

    private final ConnectionProvider pool;
    private final ConnectionProvider queryPool;
    private final EngineCalls engines;
    private final PlainCalls plain;
    private final EngineControl control;

    /**
     * Creates a gateway.
     *
     * @param self this process, sent to engines as the owner of the streams that they hold
     */
    public HttpUpstreamGateway(ProcessId self) {
        pool = ConnectionProvider.builder("upstream")
                .maxConnections(MAX_CONNECTIONS)
                .pendingAcquireTimeout(ACQUIRE_TIMEOUT)
                .maxIdleTime(MAX_IDLE)
                .build();
        HttpClient pooled = configure(HttpClient.create(pool));
        HttpClient fresh = configure(HttpClient.newConnection());
        engines = new EngineCalls(self, pooled, fresh);
        plain = new PlainCalls(pooled, fresh);
        queryPool = ConnectionProvider.builder("looks")
                .maxConnections(1)
                .pendingAcquireMaxCount(-1)
                .maxIdleTime(QUERY_MAX_IDLE)
                .build();
        control = new EngineControl(
                configure(HttpClient.newConnection()).responseTimeout(CONTROL_TIMEOUT),
                configure(HttpClient.create(queryPool)).responseTimeout(CONTROL_TIMEOUT));
    }

    /** Applies the options that all clients have in common. */
    private static HttpClient configure(HttpClient client) {
        return ResponseHeadGuard.guard(
                client.disableRetry(true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS));
    }

    @Override
    public Flux<AttemptEvent> run(Assignment assignment, long remainingMillis) {
        DispatchCommand command = assignment.queued().command();
        boolean isPlain = command.work().call() != null;
        Flux<AttemptEvent> events = isPlain ? plain.run(assignment) : engines.run(assignment, remainingMillis);
        return events.onErrorMap(UpstreamFailures::of);
    }

    /** Returns the priority that is sent to engines, so that short prompts need not wait for long ones. */
    static int priority(LengthClass lengthClass) {
        return lengthClass.ordinal();
    }

    @Override
    public Mono<Void> release(Upstream upstream, AttemptId attempt) {
        return control.release(upstream, attempt);
    }

    @Override
    public Mono<List<HeldStream>> heldStreams(Upstream upstream) {
        return control.held(upstream);
    }

    @Override
    public Mono<DesiredUpstreamState> state(Upstream upstream) {
        return control.state(upstream);
    }

    @Override
    public Mono<Boolean> order(Upstream upstream, DesiredUpstreamState desired) {
        return control.order(upstream, desired);
    }

    @Override
    public void close() {
        pool.dispose();
        queryPool.dispose();
    }
}
