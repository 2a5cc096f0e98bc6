package org.apricotstack.adapters.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apricotstack.adapters.platform.HttpPlatformDocuments;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.time.Deadline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to upstreams and to the platform that send the response to a request again after they read the next one. */
class SecondUpstreamResponseTest {

    private static final String FAILED = "failed";
    private static final long TIME_LIMIT_MILLIS = 10_000;
    private static final String LAST_CHUNK = "0";
    private static final String FIRST = "first";
    private static final String SECOND = "second";
    private static final String QUERY_ID = "X-Query-Id: %d\r\n";

    private final AtomicInteger requests = new AtomicInteger();
    private ServerSocket server;
    private HttpUpstreamGateway gateway;
    private HttpPlatformDocuments documents;
    private volatile Calls calls;
    private volatile Framing framing = Framing.LENGTH;

    /** The form of the response to the first call. */
    enum Framing {
        LENGTH,
        CHUNKS,
        NO_CONTENT,
        NOT_RUN
    }

    /** Two calls one after the other, and the responses to them. */
    enum Calls {
        PLAIN_WITHOUT_ID(FIRST, SECOND, "", test -> test.plain(1), test -> test.plain(2)),
        PLAIN_WITH_ID(FIRST, SECOND, "X-Attempt-Id: r1~%d\r\n", test -> test.plain(1), test -> test.plain(2)),
        ENGINE(event(1, FIRST), event(2, SECOND), "", test -> test.engine(1), test -> test.engine(2)),
        STATE_AFTER_HELD(
                held(FIRST), state(SECOND), "", test -> test.gateway.heldStreams(test.upstream()), test -> test.gateway
                        .state(test.upstream())
                        .map(DesiredUpstreamState::model)),
        HELD_AFTER_STATE(
                state(FIRST), held(SECOND), "", test -> test.gateway.state(test.upstream()), test -> test.gateway
                        .heldStreams(test.upstream())
                        .map(Object::toString)),
        STATE_AFTER_STATE(
                state(FIRST), state(SECOND), "", test -> test.gateway.state(test.upstream()), test -> test.gateway
                        .state(test.upstream())
                        .map(DesiredUpstreamState::model)),
        STATE_AFTER_HELD_WITH_ID(
                held(FIRST),
                state(SECOND),
                QUERY_ID,
                test -> test.gateway.heldStreams(test.upstream()),
                test -> test.gateway.state(test.upstream()).map(DesiredUpstreamState::model)),
        STATE_AFTER_STATE_WITH_ID(
                state(FIRST), state(SECOND), QUERY_ID, test -> test.gateway.state(test.upstream()), test -> test.gateway
                        .state(test.upstream())
                        .map(DesiredUpstreamState::model)),
        HELD_AFTER_HELD_WITH_ID(
                held(FIRST),
                held(SECOND),
                QUERY_ID,
                test -> test.gateway.heldStreams(test.upstream()),
                test -> test.gateway.heldStreams(test.upstream()).map(Object::toString)),
        DOCUMENTS_OF_OTHER_TOPIC(delta(FIRST), delta(SECOND), "", test -> test.documents(0), test -> test.documents(1));

        private final String firstBody;
        private final String secondBody;
        private final String header;
        private final Function<SecondUpstreamResponseTest, Mono<?>> first;
        private final Function<SecondUpstreamResponseTest, Mono<String>> second;

        Calls(
                String firstBody,
                String secondBody,
                String header,
                Function<SecondUpstreamResponseTest, Mono<?>> first,
                Function<SecondUpstreamResponseTest, Mono<String>> second) {
            this.firstBody = firstBody;
            this.secondBody = secondBody;
            this.header = header;
            this.first = first;
            this.second = second;
        }
    }

    private static String event(int number, String text) {
        return "data: {\"id\":\"r1~" + number + "\",\"offset\":0,\"count\":1,\"choices\":[{\"text\":\"" + text
                + "\"}]}\n\ndata: {\"id\":\"r1~" + number + "\",\"usage\":{\"completion_tokens\":1}}\n\n";
    }

    private static String held(String name) {
        return "[{\"name\":\"" + name + "\",\"owner\":\"host-1/1\",\"ageMillis\":1,\"timeLimitMillis\":2}]";
    }

    private static String state(String model) {
        return "{\"model\":\"" + model + "\",\"revision\":\"r\",\"role\":\"role\",\"fencing\":1}";
    }

    private static String delta(String key) {
        return "{\"from\":0,\"to\":1,\"full\":true,\"changed\":[{\"key\":\"" + key
                + "\",\"version\":1,\"body\":\"{}\"}],\"removed\":[]}";
    }

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        gateway = new HttpUpstreamGateway(new ProcessId(new HostId("host-1"), 1));
        documents = new HttpPlatformDocuments(List.of(address()));
        startDaemon(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        documents.close();
        gateway.close();
        server.close();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket));
            } catch (IOException e) {
                // The test closed the server.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String earlier = "";
            while (readRequest(in)) {
                boolean first = requests.incrementAndGet() == 1;
                String answer = first ? response(calls.firstBody, 1) : response(calls.secondBody, 2);
                framing = Framing.LENGTH;
                socket.getOutputStream().write((earlier + answer).getBytes(StandardCharsets.ISO_8859_1));
                earlier = answer;
            }
        } catch (IOException e) {
            // The client or the test closed the connection.
        }
    }

    private String response(String body, int number) {
        String header = calls.header.formatted(number);
        return switch (framing) {
            case LENGTH -> "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case CHUNKS -> "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
            case NO_CONTENT -> "HTTP/1.1 204 No Content\r\n" + header + "\r\n";
            case NOT_RUN -> "HTTP/1.1 503 Service Unavailable\r\n" + header
                    + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        };
    }

    private static boolean readRequest(BufferedReader in) throws IOException {
        int bodyBytes = 0;
        boolean chunked = false;
        String header = in.readLine();
        boolean present = header != null;
        for (; header != null && !header.isEmpty(); header = in.readLine()) {
            if (header.toLowerCase().startsWith("content-length:")) {
                bodyBytes = Integer.parseInt(
                        header.substring(header.indexOf(':') + 1).trim());
            }
            chunked |= header.toLowerCase().startsWith("transfer-encoding:");
        }
        in.skip(bodyBytes);
        String line = chunked ? in.readLine() : LAST_CHUNK;
        while (!LAST_CHUNK.equals(line)) {
            line = in.readLine();
        }
        if (chunked) {
            in.readLine();
        }
        return present;
    }

    private Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    private Upstream upstream() {
        return new Upstream(new UpstreamId("upstream-1"), new GroupId("group"), address(), 1, 1, false, false, "role");
    }

    private Mono<String> plain(int attempt) {
        return run(attempt, new Work.PlainCall("POST", "/run", List.of()));
    }

    private Mono<String> engine(int attempt) {
        return run(attempt, null);
    }

    /** Runs a repeatable attempt; returns its text, or an error if it ends without its last event. */
    private Mono<String> run(int attempt, Work.PlainCall call) {
        AttemptId id = new AttemptId(new RequestId("r1"), attempt);
        Work work = new Work(new ClientAccountId("a"), new ServiceId("s"), 0, 0, List.of(), new byte[1], call, true, 1);
        DispatchCommand command =
                new DispatchCommand(id, upstream().group(), work, Deadline.in(() -> 0, TIME_LIMIT_MILLIS), 0, Set.of());
        QueuedAttempt queued = new QueuedAttempt(command, LengthClass.values()[0], 0, 0);
        return gateway.run(new Assignment(queued, List.of(upstream())), TIME_LIMIT_MILLIS)
                .filter(event -> id.equals(event.attempt()))
                .collectList()
                .filter(events -> events.stream().anyMatch(AttemptEvent::isLast))
                .switchIfEmpty(Mono.error(new IOException("There was no last event.")))
                .map(SecondUpstreamResponseTest::text);
    }

    private static String text(List<AttemptEvent> events) {
        return events.stream()
                .filter(event -> event.signal() instanceof AttemptSignal.Chunk)
                .map(event -> new String(((AttemptSignal.Chunk) event.signal()).data(), StandardCharsets.UTF_8))
                .collect(Collectors.joining());
    }

    private Mono<String> documents(int topic) {
        return documents
                .changes(ReplicationTopic.values()[topic], 0, 0, Duration.ZERO)
                .map(Object::toString);
    }

    private static String outcome(Mono<?> call) {
        return call.map(Object::toString)
                .defaultIfEmpty("empty")
                .onErrorReturn(FAILED)
                .block(Duration.ofMillis(TIME_LIMIT_MILLIS));
    }

    private List<String> outcomes(Calls pair) {
        calls = pair;
        return List.of(outcome(pair.first.apply(this)), outcome(pair.second.apply(this)));
    }

    private static void assertNotTaken(List<String> outcomes) {
        assertThat(outcomes.get(0)).contains(FIRST);
        assertThat(outcomes.get(1)).matches(text -> text.equals(FAILED) || text.contains(SECOND));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "STATE_AFTER_STATE")
    void takesNoResponseToAnotherRequest(Calls pair) {
        assertNotTaken(outcomes(pair));
    }

    static Stream<Arguments> runs() {
        return Stream.of(Calls.PLAIN_WITHOUT_ID, Calls.PLAIN_WITH_ID, Calls.ENGINE)
                .flatMap(pair -> Arrays.stream(Framing.values()).map(form -> Arguments.of(pair, form)));
    }

    @ParameterizedTest
    @MethodSource("runs")
    void takesNoResponseOfAnotherFormToAnEarlierRun(Calls pair, Framing form) {
        framing = form;
        assertThat(outcomes(pair).get(1)).isEqualTo(SECOND);
    }

    @Test
    void takesNoEarlierStateOfAnEngineForItsCurrentOne() {
        assertNotTaken(outcomes(Calls.STATE_AFTER_STATE));
    }
}
