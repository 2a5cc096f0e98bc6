package org.apricotstack.router;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.adapters.settings.RouterSettings.Timings;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.dispatch.Work.PlainCall;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.replication.ApplyResult;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import org.apricotstack.router.StopController.Stage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against components of a router that its shutdown does not wait for. */
class RouterAssemblyTest {

    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final Duration LONGER_THAN_KEPT = Duration.ofSeconds(10);
    private static final long TIME_LIMIT_MILLIS = 60_000;
    private static final RequestId REQUEST = new RequestId("r2.1.1");
    private static final Work WORK = new Work(
            new ClientAccountId("a"),
            new ServiceId("confirm"),
            0,
            0,
            List.of(),
            new byte[1],
            new PlainCall("POST", "/run", List.of()),
            false,
            1);

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final MonotonicClock clock = () -> time.now(TimeUnit.NANOSECONDS);
    private final RouterAssembly parts = new RouterAssembly(
            new RouterSettings(
                    new HostId("r1"),
                    new DataCentreId("dc"),
                    ANY_PORT,
                    ANY_PORT,
                    ANY_PORT,
                    List.of(ANY_PORT),
                    List.of(),
                    KeyDigests.of("operators"),
                    1 << 20,
                    Timings.DEFAULT,
                    null,
                    null),
            new RouterRuntime(clock, time, 1, RouterRuntime.DEFAULT_STOP_LIMIT));
    private ServerSocket silent;

    /** Configures a second router and a replica that accept connections and never answer. */
    @BeforeEach
    void configure() throws IOException {
        silent = new ServerSocket(0);
        String address = "\"127.0.0.1:" + silent.getLocalPort() + "\"";
        String router = "{\"dataCentre\":\"dc\",\"callerAddress\":" + address + ",\"peerAddress\":" + address + "}";
        offer(ReplicationTopic.ROSTER, Map.of("routers/r1", router, "routers/r2", router));
        offer(
                ReplicationTopic.CONFIGURATION,
                Map.of(
                        "accounts/a",
                        "{\"keyDigests\":[\"" + KeyDigests.of("key") + "\"],\"services\":[\"confirm\"],"
                                + "\"tokensPerSecond\":1000,\"burstTokens\":1000,\"maxConcurrent\":10}",
                        "services/confirm",
                        "{\"kind\":\"plain\",\"target\":\"app\",\"priority\":0,\"repeatable\":false,"
                                + "\"timeLimitMillis\":60000,\"maxTimeLimitMillis\":60000}",
                        "groups/g",
                        "{\"dataCentre\":\"dc\",\"kind\":\"plain\",\"target\":\"app\"}",
                        "upstreams/u",
                        "{\"group\":\"g\",\"address\":" + address + ",\"maxStreams\":1}",
                        "presets/ordinary",
                        "{\"slowdownWeight\":0.5,\"shortShare\":0.2}",
                        "fleet/preset",
                        "{\"preset\":\"ordinary\"}",
                        "fleet/limits",
                        "{\"entryKeepMillis\":1000,\"heartbeatMillis\":60000}"));
    }

    @AfterEach
    void close() throws IOException {
        parts.peers.close();
        parts.gateway.close();
        silent.close();
    }

    private void offer(ReplicationTopic topic, Map<String, String> documents) {
        List<Document> changed = documents.entrySet().stream()
                .map(entry -> new Document(entry.getKey(), 1, entry.getValue()))
                .toList();
        ApplyResult result = parts.replication.offer(topic, new DocumentDelta(0, 1, true, changed, Map.of()));
        assertThat(result).isEqualTo(ApplyResult.ADOPTED);
    }

    private void advanceBeyondTheKeptTime() {
        time.advanceTimeBy(LONGER_THAN_KEPT);
    }

    @Test
    void endsAfterTheKeptTimeIfNothingIsInProgress() {
        parts.stop.drain();
        advanceBeyondTheKeptTime();
        assertThat(parts.stop.stage()).isEqualTo(Stage.ENDED);
    }

    @Test
    void endsOnlyOnceNoRequestOfACallerIsOpen() {
        Disposable request = parts.openRequests.track(Mono::never).subscribe();
        parts.stop.drain();
        advanceBeyondTheKeptTime();
        assertThat(parts.stop.stage()).isEqualTo(Stage.LEAVING);
        request.dispose();
        advanceBeyondTheKeptTime();
        assertThat(parts.stop.stage()).isEqualTo(Stage.ENDED);
    }

    @Test
    void endsOnlyOnceItRunsNoAttemptAsOwner() {
        Disposable attempt = parts.owners
                .dispatch(new DispatchCommand(
                        new AttemptId(REQUEST, 1),
                        new GroupId("g"),
                        WORK,
                        Deadline.in(clock, TIME_LIMIT_MILLIS),
                        0,
                        Set.of()))
                .subscribe(event -> {}, error -> {});
        parts.stop.drain();
        advanceBeyondTheKeptTime();
        assertThat(parts.stop.stage()).isEqualTo(Stage.LEAVING);
        attempt.dispose();
        advanceBeyondTheKeptTime();
        assertThat(parts.stop.stage()).isEqualTo(Stage.ENDED);
    }

    @Test
    void endsOnlyOnceItRunsNoForwardedRequestAtAnotherOwner() {
        parts.replication.gate().endWait();
        String ticket = parts.entry.issueTicket(KeyDigests.of("key")).toString();
        parts.stop.drain();
        parts.entry
                .runForwarded(REQUEST, ticket, WORK, Deadline.in(clock, TIME_LIMIT_MILLIS))
                .subscribe(signal -> {}, error -> {});
        assertThat(parts.owners.active()).isZero();
        advanceBeyondTheKeptTime();
        assertThat(parts.stop.stage()).isEqualTo(Stage.LEAVING);
        time.advanceTimeBy(Duration.ofMillis(TIME_LIMIT_MILLIS));
        assertThat(parts.stop.stage()).isEqualTo(Stage.ENDED);
    }
}
