package org.apricotstack.adapters.platform;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

import org.apricotstack.adapters.configuration.DocumentDeltas;
import org.apricotstack.adapters.http.ResponseHeadGuard;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.PlatformDocuments;
import org.apricotstack.core.replication.ReplicationTopic;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Fetches and watches the platform's documents over HTTP. Each request uses a connection of its own, as a response does
 * not name its request.
 */
public final class HttpPlatformDocuments implements PlatformDocuments, AutoCloseable {

    /** Response timeout in addition to the requested duration of the long poll. */
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(2);

    private static final int MAX_CONNECTIONS = 4;

    private final ConnectionProvider connections = ConnectionProvider.builder("platform")
            .maxConnections(MAX_CONNECTIONS)
            .evictionPredicate((connection, metadata) -> true)
            .build();
    private final HttpClient client = ResponseHeadGuard.guard(HttpClient.create(connections));
    private final List<Address> addresses;
    private final AtomicInteger current = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param addresses addresses of the platform; after a failure the next one is used
     */
    public HttpPlatformDocuments(List<Address> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    @Override
    public Mono<DocumentDelta> changes(ReplicationTopic topic, long since, long beyond, Duration wait) {
        return Mono.defer(() -> {
            int index = current.get();
            Address address = addresses.get(Math.floorMod(index, addresses.size()));
            String uri = "http://" + address + "/v1/documents/" + topic.name().toLowerCase(Locale.ROOT) + "?since="
                    + since + "&beyond=" + beyond + "&waitMillis=" + wait.toMillis();
            return client.responseTimeout(wait.plus(TIMEOUT_MARGIN))
                    .get()
                    .uri(uri)
                    .responseSingle(HttpPlatformDocuments::decode)
                    .doOnError(error -> current.compareAndSet(index, index + 1));
        });
    }

    /** Decodes one response. */
    private static Mono<DocumentDelta> decode(HttpClientResponse response, ByteBufMono body) {
        int status = response.status().code();
        if (status == 204) {
            return Mono.empty();
        }
        if (status != 200) {
            return Mono.error(new ApricotException(
                    ErrorCode.PLATFORM_PROTOCOL, "The platform answered with status " + status + "; check it."));
        }
        return body.asByteArray().map(DocumentDeltas::read);
    }

    @Override
    public void close() {
        connections.dispose();
    }
}
