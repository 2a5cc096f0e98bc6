package org.apricotstack.bench.replay;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import org.apricotstack.adapters.caller.CallerServer;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.upstream.HttpLines;
import org.apricotstack.bench.engine.AnswerText;
import org.apricotstack.bench.trace.PromptText;
import org.apricotstack.bench.trace.TraceRecord;
import org.apricotstack.core.id.Address;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends the requests of a trace as a careful caller does: it asks for entries, tries the next host if it cannot
 * connect, uses a ticket for what must not be repeated and asks again with the same ticket, and checks each answer
 * against the true one.
 */
public final class ReplayCaller implements AutoCloseable {

    private static final int MOST_CONNECTIONS = 2_000;
    private static final int TICKET_TRIES = 12;
    private static final Duration TICKET_PAUSE = Duration.ofMillis(500);
    private static final String DATA = "data: ";

    private final ConnectionProvider connections = ConnectionProvider.builder("replay")
            .maxConnections(MOST_CONNECTIONS)
            .build();
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);
    private final EntryList entries;
    private final Duration mostWait;

    /**
     * Creates a caller.
     *
     * @param firstEntries addresses of entry hosts to ask first
     * @param mostWait time after which a request without an end counts as late
     */
    public ReplayCaller(List<Address> firstEntries, Duration mostWait) {
        this.entries = new EntryList(client, firstEntries);
        this.mostWait = mostWait;
    }

    /**
     * Sends one request.
     *
     * @param record the request
     * @param spread a number that spreads requests over the entry hosts
     * @param sinceDueMillis reads the time since the trace wanted it sent, in milliseconds
     * @return how it ended
     */
    public Mono<ReplayResult> send(TraceRecord record, long spread, LongSupplier sinceDueMillis) {
        Call call = new Call(record, sinceDueMillis);
        Mono<ReplayResult> result = record.inputTokens() == 0
                ? entries.get(spread).flatMap(hosts -> plain(call, hosts))
                : entries.get(spread).flatMap(hosts -> completion(call, hosts));
        return result.timeout(mostWait, Mono.fromSupplier(() -> call.ended(ReplayOutcome.LATE, "")));
    }

    /** Sends a completion to the first host that can be reached. */
    private Mono<ReplayResult> completion(Call call, List<Address> hosts) {
        TraceRecord record = call.record;
        String prompt = PromptText.of(record.hashIds(), record.inputTokens());
        ObjectNode body = Json.STRICT
                .createObjectNode()
                .put("model", record.service())
                .put("max_tokens", record.outputTokens())
                .put("stream", true)
                .put("prompt", prompt);
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        return Flux.fromIterable(hosts)
                .concatMap(host -> headers(record, null)
                        .post()
                        .uri("http://" + host + "/v1/completions")
                        .send((request, outbound) -> outbound.sendObject(Unpooled.wrappedBuffer(bytes)))
                        .responseConnection((response, connection) -> read(call, prompt, response, connection))
                        .next()
                        .onErrorResume(ReplayCaller::neverConnected, error -> Mono.empty())
                        .onErrorResume(error -> Mono.just(call.ended(ReplayOutcome.UNKNOWN, "connection_lost"))))
                .next()
                .defaultIfEmpty(call.ended(ReplayOutcome.UNREACHABLE, ""));
    }

    /** Tells whether an error proves that nothing was sent. */
    private static boolean neverConnected(Throwable error) {
        return error instanceof ConnectException;
    }

    /** Sets what all requests carry. */
    private HttpClient headers(TraceRecord record, String ticket) {
        return client.headers(headers -> {
            headers.set("Authorization", "Bearer key-" + record.account());
            headers.set("Content-Type", "application/json");
            if (record.timeLimitMillis() > 0) {
                headers.set(CallerServer.TIME_LIMIT_HEADER, record.timeLimitMillis());
            }
            if (ticket != null) {
                headers.set(CallerServer.TICKET_HEADER, ticket);
            }
        });
    }

    /** Reads the answer to a completion. */
    private static Flux<ReplayResult> read(
            Call call, String prompt, HttpClientResponse response, Connection connection) {
        if (response.status().code() != 200) {
            return connection
                    .inbound()
                    .receive()
                    .asString(StandardCharsets.UTF_8)
                    .collect(Collectors.joining())
                    .map(text -> call.refused(text))
                    .doFinally(end -> connection.dispose())
                    .flux();
        }
        StringBuilder text = new StringBuilder();
        return HttpLines.of(connection)
                .filter(line -> line.startsWith(DATA))
                .mapNotNull(line -> take(call, prompt, text, line.substring(DATA.length())))
                .concatWith(Mono.fromSupplier(() -> call.ended(ReplayOutcome.UNKNOWN, "no_end_mark")))
                .take(1)
                .doFinally(end -> connection.dispose());
    }

    /** Takes one event; returns the result if it was the last. */
    private static ReplayResult take(Call call, String prompt, StringBuilder text, String event) {
        if (event.startsWith("[DONE]")) {
            String truth = AnswerText.whole(prompt, call.record.outputTokens());
            return call.ended(truth.contentEquals(text) ? ReplayOutcome.COMPLETED : ReplayOutcome.WRONG, "");
        }
        try {
            JsonNode document = Json.STRICT.readTree(event);
            if (document.has("code")) {
                return call.refused(event);
            }
            String piece = document.path("choices").path(0).path("text").asText();
            if (!piece.isEmpty()) {
                call.firstToken();
                text.append(piece);
            }
            return null;
        } catch (IOException e) {
            return call.ended(ReplayOutcome.WRONG, "no_json");
        }
    }

    /** Sends a call that must not be repeated: first a ticket, then the call, and again with the same ticket. */
    private Mono<ReplayResult> plain(Call call, List<Address> hosts) {
        return Flux.fromIterable(hosts)
                .concatMap(host -> headers(call.record, null)
                        .post()
                        .uri("http://" + host + "/v1/tickets")
                        .responseSingle((response, body) -> body.asString())
                        .flatMap(text -> Mono.fromCallable(
                                () -> Json.STRICT.readTree(text).path("ticket").asText()))
                        .filter(ticket -> !ticket.isEmpty())
                        .onErrorResume(error -> Mono.empty()))
                .next()
                .flatMap(ticket -> withTicket(call, hosts, ticket, 0))
                .defaultIfEmpty(call.ended(ReplayOutcome.UNREACHABLE, ""));
    }

    /** Makes the call, on another host each time, until its outcome is known or the tries are used up. */
    private Mono<ReplayResult> withTicket(Call call, List<Address> hosts, String ticket, int tries) {
        Address host = hosts.get(tries % hosts.size());
        String body = "call-" + call.record.hashIds().get(0);
        return headers(call.record, ticket)
                .post()
                .uri("http://" + host + "/v1/services/" + call.record.service() + "/run")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8))))
                .responseSingle((response, content) -> content.asString()
                        .defaultIfEmpty("")
                        .map(text -> response.status().code() == 200 ? answered(call, body, text) : call.refused(text)))
                .onErrorResume(error -> Mono.just(call.ended(ReplayOutcome.UNKNOWN, "connection_lost")))
                .flatMap(result -> {
                    boolean again = result.outcome() == ReplayOutcome.UNKNOWN && isWorthAsking(result.code());
                    if (!again || tries >= TICKET_TRIES) {
                        return Mono.just(result);
                    }
                    return Mono.delay(TICKET_PAUSE).then(withTicket(call, hosts, ticket, tries + 1));
                });
    }

    /** Tells whether asking again with the same ticket can tell more. */
    private static boolean isWorthAsking(String code) {
        return !"ticket_spent".equals(code) && !"ticket_home_lost".equals(code);
    }

    /** Judges the answer to a plain call. */
    private static ReplayResult answered(Call call, String body, String text) {
        call.firstToken();
        return call.ended(text.equals("done " + body) ? ReplayOutcome.COMPLETED : ReplayOutcome.WRONG, "");
    }

    @Override
    public void close() {
        connections.dispose();
    }

    /** One request on its way. */
    private static final class Call {
        private final TraceRecord record;
        private final LongSupplier sinceDueMillis;
        private double firstTokenMillis = -1;

        /** Creates a request that was not sent yet. */
        private Call(TraceRecord record, LongSupplier sinceDueMillis) {
            this.record = record;
            this.sinceDueMillis = sinceDueMillis;
        }

        /** Notes the first piece of the answer. */
        private void firstToken() {
            if (firstTokenMillis < 0) {
                firstTokenMillis = sinceDueMillis.getAsLong();
            }
        }

        /** Makes the result. */
        private ReplayResult ended(ReplayOutcome outcome, String code) {
            return new ReplayResult(record, outcome, code, firstTokenMillis, sinceDueMillis.getAsLong());
        }

        /** Makes the result of a problem document. */
        private ReplayResult refused(String problem) {
            try {
                JsonNode document = Json.STRICT.readTree(problem);
                boolean notRun = "not_run".equals(document.path("outcome").asText());
                String code = document.path("code").asText("no_code");
                return ended(notRun ? ReplayOutcome.NOT_RUN : ReplayOutcome.UNKNOWN, code);
            } catch (IOException e) {
                return ended(ReplayOutcome.UNKNOWN, "no_problem_document");
            }
        }
    }
}
