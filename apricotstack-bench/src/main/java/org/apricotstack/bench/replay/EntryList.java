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

/** The entry hosts as a caller knows them: it asks one of them, keeps the answer for its time, and asks again. */
final class EntryList {

    private static final Duration WAIT = Duration.ofSeconds(2);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpClient client;
    private final List<Address> first;
    private volatile List<Address> current;
    private volatile long askAgainNanos;

    /** Creates a list from the addresses that a caller was configured with. */
    EntryList(HttpClient client, List<Address> first) {
        this.client = client;
        this.first = List.copyOf(first);
        this.current = this.first;
        this.askAgainNanos = System.nanoTime();
    }

    /** Returns the addresses in the order in which to try them, starting at a place that spreads requests. */
    Mono<List<Address>> get(long spread) {
        if (System.nanoTime() < askAgainNanos) {
            return Mono.just(rotated(current, spread));
        }
        askAgainNanos = System.nanoTime() + WAIT.toNanos();
        List<Address> toAsk = new ArrayList<>(rotated(current, spread));
        toAsk.addAll(first);
        return Flux.fromIterable(toAsk)
                .concatMap(address -> ask(address).onErrorResume(error -> Mono.empty()))
                .next()
                .thenReturn(0)
                .defaultIfEmpty(0)
                .map(done -> rotated(current, spread));
    }

    /** Asks one host. */
    private Mono<JsonNode> ask(Address address) {
        return client.get()
                .uri("http://" + address + "/v1/entries")
                .responseSingle((response, body) -> body.asByteArray())
                .timeout(WAIT)
                .map(EntryList::parse)
                .filter(answer -> !answer.path("entries").isEmpty())
                .doOnNext(this::keep);
    }

    /** Keeps an answer for the stated time. */
    private void keep(JsonNode answer) {
        List<Address> entries = new ArrayList<>();
        answer.path("entries").forEach(entry -> entries.add(Address.parse(entry.asText())));
        current = List.copyOf(entries);
        askAgainNanos = System.nanoTime() + answer.path("keepMillis").asLong() * NANOS_PER_MILLI;
    }

    /** Reads an answer. */
    private static JsonNode parse(byte[] bytes) {
        try {
            return Json.STRICT.readTree(bytes);
        } catch (IOException e) {
            return Json.STRICT.createObjectNode();
        }
    }

    /** Rotates a list. */
    private static List<Address> rotated(List<Address> list, long spread) {
        List<Address> result = new ArrayList<>(list);
        if (!result.isEmpty()) {
            Collections.rotate(result, (int) Math.floorMod(spread, (long) result.size()));
        }
        return result;
    }
}
