package org.apricotstack.adapters.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;

import org.apricotstack.adapters.platform.HttpPlatformDocuments;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.http.DrawnResponseHead;
import org.apricotstack.core.http.DrawnResponseHead.Part;
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
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.time.Deadline;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to upstreams and to the platform whose response ends early, or has a head that violates HTTP. */
class HalfUpstreamResponseTest {

    private static final String FAILED = "failed";
    private static final long TIME_LIMIT_MILLIS = 10_000;
    private static final int STEP_BYTES = Integer.getInteger("apricotstack.cutStepBytes", 3);
    private static final int SEEDS_PER_PART = 4;
    private static final String LAST_CHUNK = "0";
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String EVENT = "data: {\"id\":\"r1~1\",\"usage\":{\"completion_tokens\":1}}\n\n";

    private ServerSocket server;
    private HttpUpstreamGateway gateway;
    private volatile String answer;
    private volatile boolean reset;

    /** A call and the response to it. */
    enum Call {
        PLAIN("answer", false, (test, upstream) -> test.run(upstream, new Work.PlainCall("POST", "/run", List.of()))),
        ENGINE(EVENT, false, (test, upstream) -> test.run(upstream, null)),
        STATE("{\"model\":\"m\",\"revision\":\"r\"}", false, (test, upstream) -> test.gateway.state(upstream)),
        HELD("[]", false, (test, upstream) -> test.gateway.heldStreams(upstream)),
        RELEASE("{}", false, (test, upstream) -> test.gateway.release(upstream, attempt())),
        ORDER(
                "{}",
                true,
                (test, upstream) -> test.gateway.order(
                        upstream, new DesiredUpstreamState(upstream.id(), "m", "r", List.of(), "role", 1))),
        DOCUMENTS("{}", false, (test, upstream) -> test.documents(upstream));

        private final String body;
        private final boolean answeredByHead;
        private final BiFunction<HalfUpstreamResponseTest, Upstream, Mono<?>> call;

        Call(String body, boolean answeredByHead, BiFunction<HalfUpstreamResponseTest, Upstream, Mono<?>> call) {
            this.body = body;
            this.answeredByHead = answeredByHead;
            this.call = call;
        }
    }

    /** How the end of the body is marked. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION_END
    }

    static List<Arguments> cells() {
        List<Arguments> cells = new ArrayList<>();
        for (Call call : Call.values()) {
            for (Framing framing : Framing.values()) {
                cells.add(Arguments.of(call, framing, false));
                cells.add(Arguments.of(call, framing, true));
            }
        }
        return cells;
    }

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        gateway = new HttpUpstreamGateway(new ProcessId(new HostId("host-1"), 1));
        Thread thread = new Thread(this::serve, "server");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                readRequest(socket);
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(reset, 0);
            } catch (IOException e) {
                // The client or the test closed the connection.
            }
        }
    }

    private static void readRequest(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        int bodyBytes = 0;
        boolean chunked = false;
        for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
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
    }

    private static AttemptId attempt() {
        return new AttemptId(new RequestId("r1"), 1);
    }

    private Upstream upstream() {
        return new Upstream(new UpstreamId("upstream-1"), new GroupId("group"), address(), 1, 1, false, false, "role");
    }

    private Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /** Runs an attempt; empty if it ends without its last event. */
    private Mono<?> run(Upstream upstream, Work.PlainCall call) {
        Work work =
                new Work(new ClientAccountId("a"), new ServiceId("s"), 0, 0, List.of(), new byte[1], call, false, 1);
        DispatchCommand command = new DispatchCommand(
                attempt(), upstream.group(), work, Deadline.in(() -> 0, TIME_LIMIT_MILLIS), 0, Set.of());
        QueuedAttempt queued = new QueuedAttempt(command, LengthClass.values()[0], 0, 0);
        return gateway.run(new Assignment(queued, List.of(upstream)), TIME_LIMIT_MILLIS)
                .filter(event -> event.signal() instanceof AttemptSignal.Completed)
                .next()
                .switchIfEmpty(Mono.error(new IOException("There was no last event.")));
    }

    private Mono<?> documents(Upstream upstream) {
        HttpPlatformDocuments documents = new HttpPlatformDocuments(List.of(upstream.address()));
        return documents
                .changes(ReplicationTopic.values()[0], 0, 0, Duration.ZERO)
                .doFinally(end -> documents.close());
    }

    private static String response(Call call, Framing framing) {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
        return switch (framing) {
            case LENGTH -> head + "Content-Length: " + call.body.length() + END_OF_HEAD + call.body;
            case CHUNKS -> head + "Transfer-Encoding: chunked" + END_OF_HEAD + Integer.toHexString(call.body.length())
                    + "\r\n" + call.body + "\r\n0\r\nX-Trailer: t\r\n\r\n";
            case CONNECTION_END -> head + "\r\n";
        };
    }

    /** Returns the number of bytes from which the outcome may be known, whatever follows. */
    private static int decisiveBytes(Call call, String whole) {
        if (call.answeredByHead) {
            return whole.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
        }
        return call == Call.ENGINE && whole.contains(EVENT)
                ? whole.indexOf(EVENT) + EVENT.indexOf('\n')
                : whole.length();
    }

    private String outcome(Call call) {
        return call.call
                .apply(this, upstream())
                .map(Object::toString)
                .defaultIfEmpty("empty")
                .onErrorReturn(FAILED)
                .block(Duration.ofMillis(TIME_LIMIT_MILLIS));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void takesNoHalfResponseForAWholeOne(Call call, Framing framing, boolean resets) {
        String whole = response(call, framing);
        reset = resets;
        for (int bytes = framing.ordinal(); bytes < decisiveBytes(call, whole); bytes += STEP_BYTES) {
            answer = whole.substring(0, bytes);
            assertThat(outcome(call)).as("cut after %d bytes", bytes).isEqualTo(FAILED);
        }
    }

    private static String drawn(Call call, Part violated, long seed) {
        Random random = new Random(seed);
        boolean chunked = random.nextBoolean();
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + call.body.length();
        String body =
                chunked ? Integer.toHexString(call.body.length()) + "\r\n" + call.body + "\r\n0\r\n\r\n" : call.body;
        return new DrawnResponseHead(random, violated, 200).draw(List.of("Content-Type: text/plain", framing)) + body;
    }

    /** Guards against a response that the client's decoder repaired. */
    @ParameterizedTest
    @EnumSource(Call.class)
    void takesNoResponseWithAMalformedHead(Call call) {
        SoftAssertions softly = new SoftAssertions();
        for (Part part : Part.values()) {
            for (int seed = 0; seed < SEEDS_PER_PART; seed++) {
                answer = drawn(call, part, seed);
                softly.assertThat(outcome(call)).as("%s, seed %d", part, seed).isEqualTo(FAILED);
            }
        }
        softly.assertAll();
    }

    /** Guards against sound upstreams that are rejected for what a head may have. */
    @ParameterizedTest
    @EnumSource(value = Call.class, mode = EnumSource.Mode.EXCLUDE, names = "DOCUMENTS")
    void takesAResponseWhoseHeadIsValid(Call call) {
        for (int seed = 0; seed < Part.values().length * SEEDS_PER_PART; seed++) {
            answer = drawn(call, null, seed);
            assertThat(outcome(call)).as("seed %d", seed).isNotEqualTo(FAILED);
        }
    }
}
