package org.apricotstack.bench.replay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.id.Address;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** The entry hosts known to a caller: fetched from one of them, cached for the time it states, and then refreshed. */
final class EntryList {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpClient client;
    private final List<Address> configured;
    private volatile List<Address> current;
    private volatile long refreshNanos;

    /** Creates a list with the configured addresses of a caller. */
    EntryList(HttpClient client, List<Address> configured) {
        this.client = client;
        this.configured = List.copyOf(configured);
        this.current = this.configured;
        this.refreshNanos = System.nanoTime();
    }

    /** Returns the addresses in the order in which to try them, rotated so that requests are spread over the hosts. */
    Mono<List<Address>> get(long spread) {
        if (System.nanoTime() < refreshNanos) {
            return Mono.just(rotated(current, spread));
        }
        refreshNanos = System.nanoTime() + REQUEST_TIMEOUT.toNanos();
        List<Address> candidates = new ArrayList<>(rotated(current, spread));
        candidates.addAll(configured);
        return Flux.fromIterable(candidates)
                .concatMap(address -> fetch(address).onErrorResume(error -> Mono.empty()))
                .next()
                .thenReturn(0)
                .defaultIfEmpty(0)
                .map(done -> rotated(current, spread));
    }

    /** Fetches the entry hosts from one host. */
    private Mono<JsonNode> fetch(Address address) {
        return client.get()
                .uri("http://" + address + "/v1/entries")
                .responseSingle((response, body) -> body.asByteArray())
                .timeout(REQUEST_TIMEOUT)
                .map(EntryList::parse)
                .filter(answer -> !answer.path("entries").isEmpty())
                .doOnNext(this::cache);
    }

    /** Caches a response for the time that it states. */
    private void cache(JsonNode answer) {
        List<Address> entries = new ArrayList<>();
        answer.path("entries").forEach(entry -> entries.add(Address.parse(entry.asText())));
        current = List.copyOf(entries);
        refreshNanos = System.nanoTime() + answer.path("keepMillis").asLong() * NANOS_PER_MILLI;
    }

    /** Parses a response; returns an empty object if it is not JSON. */
    private static JsonNode parse(byte[] bytes) {
        try {
            return Json.STRICT.readTree(bytes);
        } catch (IOException e) {
            return Json.STRICT.createObjectNode();
        }
    }

    /** Returns a rotated copy of a list. */
    private static List<Address> rotated(List<Address> list, long spread) {
        List<Address> result = new ArrayList<>(list);
        if (!result.isEmpty()) {
            Collections.rotate(result, (int) Math.floorMod(spread, (long) result.size()));
        }
        return result;
    }
}
