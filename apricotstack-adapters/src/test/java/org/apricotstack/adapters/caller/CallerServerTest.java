package org.apricotstack.adapters.caller;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.apricotstack.core.entry.EntryRequest;
import org.apricotstack.core.entry.EntryService.Submission;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.stream.AttemptSignal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a router that ends while it reads a request or sends a response, and against one that never ends. */
class CallerServerTest {

    private static final int BODY_BYTES = 1 << 10;
    private static final Duration POLL = Duration.ofMillis(5);
    private static final Duration MAX_WAIT = Duration.ofSeconds(30);
    private static final String HEAD = "POST /v1/services/lookup/run HTTP/1.1\r\nHost: r\r\nConnection: close\r\n"
            + "Content-Length: " + BODY_BYTES + "\r\n\r\n";

    private final OpenRequests open = new OpenRequests();
    private Flux<AttemptSignal> answer =
            Flux.error(Refusal.notRun(RefusalReason.NO_GROUP, 0).toException());
    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(
                new Address("127.0.0.1", 0), null, new SameAnswerEndpoint(), new ByteBudget(1 << 20), open);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private static void await(BooleanSupplier condition) {
        Flux.interval(Duration.ZERO, POLL)
                .onBackpressureDrop()
                .filter(tick -> condition.getAsBoolean())
                .blockFirst(MAX_WAIT);
    }

    @Test
    void countsARequestFromItsHeadToItsResponse() throws IOException {
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
            await(() -> open.count() == 1);
            caller.getOutputStream().write(new byte[BODY_BYTES]);
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).startsWith("HTTP/1.1 503").contains("no_group");
            await(() -> open.count() == 0);
        }
    }

    @Test
    void countsNoRequestWhoseCallerDisconnected() throws IOException {
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
            await(() -> open.count() == 1);
        }
        await(() -> open.count() == 0);
    }

    @Test
    void countsNoRequestWhoseCallerDisconnectedDuringTheResponse() throws IOException {
        answer = Flux.<AttemptSignal>just(
                        new AttemptSignal.Head(200, List.of()), new AttemptSignal.Chunk(0, 1, new byte[1]))
                .concatWith(Flux.never());
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
            caller.getOutputStream().write(new byte[BODY_BYTES]);
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            assertThat(open.count()).isEqualTo(1);
        }
        await(() -> open.count() == 0);
    }

    @Test
    void closesItsConnections() throws IOException {
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
            await(() -> open.count() == 1);
            caller.setSoTimeout((int) MAX_WAIT.toMillis());
            server.close();
            assertThat(caller.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Answers each request to a service in the same way. */
    private final class SameAnswerEndpoint implements CallerEndpoint {

        @Override
        public EntryAnswer entries(String callerIp) {
            return new EntryAnswer(List.of(), 0);
        }

        @Override
        public IssuedTicket issueTicket(String keyDigest) {
            throw Refusal.notRun(RefusalReason.UNAUTHENTICATED, 0).toException();
        }

        @Override
        public Submission submit(EntryRequest request) {
            return new Submission(new RequestId("r.1.1"), answer);
        }

        @Override
        public long maxBodyBytes() {
            return BODY_BYTES;
        }
    }
}
