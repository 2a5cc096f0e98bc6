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
 * Client that sends the requests of a trace as recommended to callers: it fetches the entry hosts, tries the next host
 * if it cannot connect, uses a ticket for each non-idempotent call, retries with the same ticket, and compares each
 * answer with the expected one.
 */
public final class ReplayCaller implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 2_000;
    private static final int MAX_TICKET_RETRIES = 12;
    private static final Duration TICKET_RETRY_DELAY = Duration.ofMillis(500);
    private static final String DATA = "data: ";

    private final ConnectionProvider connections =
            ConnectionProvider.builder("replay").maxConnections(MAX_CONNECTIONS).build();
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);
    private final EntryList entries;
    private final Duration timeout;

    /**
     * Creates a caller.
     *
     * @param firstEntries configured addresses of entry hosts
     * @param timeout time after which an unfinished request counts as late
     */
    public ReplayCaller(List<Address> firstEntries, Duration timeout) {
        this.entries = new EntryList(client, firstEntries);
        this.timeout = timeout;
    }

    /**
     * Sends one request.
     *
     * @param record the request
     * @param spread a number that spreads requests over the entry hosts
     * @param sinceDueMillis supplies the time since the send time in the trace, in milliseconds
     * @return the result
     */
    public Mono<ReplayResult> send(TraceRecord record, long spread, LongSupplier sinceDueMillis) {
        Call call = new Call(record, sinceDueMillis);
        Mono<ReplayResult> result = record.inputTokens() == 0
                ? entries.get(spread).flatMap(hosts -> plain(call, hosts))
                : entries.get(spread).flatMap(hosts -> completion(call, hosts));
        return result.timeout(timeout, Mono.fromSupplier(() -> call.ended(ReplayOutcome.LATE, "")));
    }

    /** Sends a completion request to the first reachable host. */
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

    /** Returns whether an error proves that nothing was sent. */
    private static boolean neverConnected(Throwable error) {
        return error instanceof ConnectException;
    }

    /** Creates a client with the headers that all requests carry. */
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

    /** Reads the response to a completion request. */
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
                .mapNotNull(line -> handleEvent(call, prompt, text, line.substring(DATA.length())))
                .concatWith(Mono.fromSupplier(() -> call.ended(ReplayOutcome.UNKNOWN, "no_end_mark")))
                .take(1)
                .doFinally(end -> connection.dispose());
    }

    /** Handles one event; returns the result if it was the last, otherwise {@code null}. */
    private static ReplayResult handleEvent(Call call, String prompt, StringBuilder text, String event) {
        if (event.startsWith("[DONE]")) {
            String expected = AnswerText.complete(prompt, call.record.outputTokens());
            return call.ended(expected.contentEquals(text) ? ReplayOutcome.COMPLETED : ReplayOutcome.WRONG, "");
        }
        try {
            JsonNode document = Json.STRICT.readTree(event);
            if (document.has("code")) {
                return call.refused(event);
            }
            String chunk = document.path("choices").path(0).path("text").asText();
            if (!chunk.isEmpty()) {
                call.firstToken();
                text.append(chunk);
            }
            return null;
        } catch (IOException e) {
            return call.ended(ReplayOutcome.WRONG, "no_json");
        }
    }

    /** Sends a non-idempotent call: requests a ticket, then sends the call, and retries it with the same ticket. */
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

    /** Sends the call, to another host each time, until its outcome is known or all retries are used. */
    private Mono<ReplayResult> withTicket(Call call, List<Address> hosts, String ticket, int retries) {
        Address host = hosts.get(retries % hosts.size());
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
                    boolean retry = result.outcome() == ReplayOutcome.UNKNOWN && isWorthRetrying(result.code());
                    if (!retry || retries >= MAX_TICKET_RETRIES) {
                        return Mono.just(result);
                    }
                    return Mono.delay(TICKET_RETRY_DELAY).then(withTicket(call, hosts, ticket, retries + 1));
                });
    }

    /** Returns whether a retry with the same ticket can reveal the outcome. */
    private static boolean isWorthRetrying(String code) {
        return !"ticket_spent".equals(code) && !"ticket_home_lost".equals(code);
    }

    /** Checks the answer to a plain call. */
    private static ReplayResult answered(Call call, String body, String text) {
        call.firstToken();
        return call.ended(text.equals("done " + body) ? ReplayOutcome.COMPLETED : ReplayOutcome.WRONG, "");
    }

    @Override
    public void close() {
        connections.dispose();
    }

    /** A request in progress. */
    private static final class Call {
        private final TraceRecord record;
        private final LongSupplier sinceDueMillis;
        private double firstTokenMillis = -1;

        /** Creates a request that has not been sent yet. */
        private Call(TraceRecord record, LongSupplier sinceDueMillis) {
            this.record = record;
            this.sinceDueMillis = sinceDueMillis;
        }

        /** Records the time of the first token. */
        private void firstToken() {
            if (firstTokenMillis < 0) {
                firstTokenMillis = sinceDueMillis.getAsLong();
            }
        }

        /** Creates the result. */
        private ReplayResult ended(ReplayOutcome outcome, String code) {
            return new ReplayResult(record, outcome, code, firstTokenMillis, sinceDueMillis.getAsLong());
        }

        /** Creates the result for a problem document. */
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
