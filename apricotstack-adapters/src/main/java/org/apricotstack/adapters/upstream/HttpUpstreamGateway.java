package org.apricotstack.adapters.upstream;

import java.time.Duration;
import java.util.List;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
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
 * <p>Work that must run at most once gets a connection of its own: on a kept connection the other side may close just
 * when the request is sent, and nobody could tell whether it was read. The library's own retry is off for the same
 * reason.
 */
public final class HttpUpstreamGateway implements UpstreamGateway, AutoCloseable {

    private static final int CONNECT_MILLIS = 800;
    private static final int MOST_CONNECTIONS = 512;
    private static final Duration ACQUIRE = Duration.ofSeconds(2);
    private static final Duration MOST_IDLE = Duration.ofSeconds(20);
    private static final Duration CONTROL = Duration.ofSeconds(2);
    private static final Duration LOOKS_IDLE = Duration.ofMinutes(2);

    private final ConnectionProvider kept;
    private final ConnectionProvider looks;
    private final EngineCalls engines;
    private final PlainCalls plain;
    private final EngineControl control;

    /**
     * Creates a gateway.
     *
     * @param self this process, named to engines as the owner of what they hold
     */
    public HttpUpstreamGateway(ProcessId self) {
        kept = ConnectionProvider.builder("upstream")
                .maxConnections(MOST_CONNECTIONS)
                .pendingAcquireTimeout(ACQUIRE)
                .maxIdleTime(MOST_IDLE)
                .build();
        HttpClient pooled = configure(HttpClient.create(kept));
        HttpClient fresh = configure(HttpClient.newConnection());
        engines = new EngineCalls(self, pooled, fresh);
        plain = new PlainCalls(pooled, fresh);
        looks = ConnectionProvider.builder("looks")
                .maxConnections(1)
                .pendingAcquireMaxCount(-1)
                .maxIdleTime(LOOKS_IDLE)
                .build();
        control = new EngineControl(
                configure(HttpClient.newConnection()).responseTimeout(CONTROL),
                configure(HttpClient.create(looks)).responseTimeout(CONTROL));
    }

    /** Sets what all clients share. */
    private static HttpClient configure(HttpClient client) {
        return client.disableRetry(true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    }

    @Override
    public Flux<AttemptEvent> run(Assignment assignment, long remainingMillis) {
        DispatchCommand command = assignment.item().command();
        boolean isPlain = command.work().call() != null;
        Flux<AttemptEvent> events = isPlain ? plain.run(assignment) : engines.run(assignment, remainingMillis);
        return events.onErrorMap(UpstreamFailures::of);
    }

    /** Returns the priority that engines are told: short prompts must not wait for long ones. */
    static int priority(LengthClass lengthClass) {
        return lengthClass.ordinal();
    }

    @Override
    public Mono<Void> release(Upstream upstream, AttemptId attempt) {
        return control.call(HttpMethod.DELETE, upstream, EngineProtocol.HELD + "/" + attempt)
                .then();
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
    public Mono<Boolean> order(Upstream upstream, DesiredUpstreamState order) {
        return control.order(upstream, order);
    }

    @Override
    public void close() {
        kept.dispose();
        looks.dispose();
    }
}
