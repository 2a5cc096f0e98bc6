package org.apricotstack.serving.run;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.limits.ByteBudget;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.route.AccountKeys;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.RouteTable;
import org.apricotstack.core.route.ServiceProfile;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.route.WeightedService;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.CallerRequest;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.RefusalCause;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that a stopping router rejects, on a clock that stands still. */
class StopRejectionTest {

    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final long STOP_MILLIS = 8_000;

    /** The assumed longest answer of the service: four latency targets. */
    private static final long LONGEST_MILLIS = 4_000;

    private static final ProcessId PROCESS = new ProcessId(new HostId("router"), 1);
    private static final DataCentreId EAST = new DataCentreId("east");
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";

    private volatile long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("router", () -> 0);
    private final ServingMetrics metrics = new ServingMetrics();
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final StopPolicy policy = new StopPolicy(STOP_MILLIS, new AddressLifetime(1));
    private final StopGate gate =
            new StopGate(policy, () -> new OtherRouters(true, List.of()), loadTable, new StallDetector(0));
    private final RequestDispatcher dispatcher = new RequestDispatcher(context());
    private final CallerServer server =
            new CallerServer(loop, StopRejectionTest::readRequest, dispatcher, () -> CallerLimits.DEFAULT, 10);
    private final Address address = server.listen(new Address("127.0.0.1", 0));
    private Socket caller;

    private ServingContext context() {
        return new ServingContext(
                PROCESS,
                EAST,
                loop,
                StopRejectionTest::configuration,
                new UpstreamTable(),
                new OutlierDetector(),
                loadTable,
                null,
                null,
                null,
                null,
                new SuspectTable(PROCESS, suspect -> {}),
                null,
                LimitsInForce.advertisedOnly(new LimitTable()),
                new DenyingLimitGossip(),
                new RetryBudgets(1, 1_000, () -> 1),
                new ByteBudget(1_000),
                gate,
                log,
                metrics);
    }

    private static ServingConfiguration configuration() {
        Route route = new Route(
                "r",
                "h",
                "/",
                RequestKind.SAFE,
                20_000,
                LONGEST_MILLIS / 4,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                true,
                true,
                100);
        return new ServingConfiguration(
                1,
                new RouteTable(List.of(route)),
                Map.of(SERVICE, new ServiceProfile(SERVICE, 10, Optional.empty())),
                CallerLimits.DEFAULT,
                AccountKeys.NOT_REQUIRED);
    }

    private static CallerRequest readRequest(HttpRequest head) {
        return new CallerRequest("id", "h", head.uri(), null, CallerRequest.NO_TIMEOUT, null, 0, 0, List.of(), head);
    }

    @BeforeEach
    void stopTheRouter() throws IOException {
        policy.timeline().begin(0, 0);
        caller = new Socket(address.ip(), address.port());
        caller.setSoTimeout(WAIT_TIMEOUT_MILLIS);
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        server.close();
        loop.close();
        log.close();
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String readHead() throws IOException {
        InputStream in = caller.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            assertThat(next).as("byte after \"%s\"", head).isNotNegative();
            head.append((char) next);
        }
        return head.toString();
    }

    private void awaitOpenRun() {
        CompletableFuture<Boolean> open = new CompletableFuture<>();
        while (!open.getNow(false)) {
            CompletableFuture<Boolean> asked = new CompletableFuture<>();
            loop.execute(() -> asked.complete(dispatcher.open() > 0));
            open = asked;
            open.join();
        }
    }

    @Test
    void countsARequestThatIsRejectedOnArrival() throws IOException {
        nowMillis = policy.timeline().durationMillis() - LONGEST_MILLIS + 1;
        send(HEAD);
        assertThat(readHead()).startsWith("HTTP/1.1 503").contains("retry-after: 0.100");
        assertThat(gate.arrived()).isEqualTo(1);
        assertThat(gate.rejected()).isEqualTo(1);
        assertThat(count("stops.requests_arrived")).isEqualTo(1);
        assertThat(count("refusals." + RefusalCause.STOPPING.code())).isEqualTo(1);
    }

    /** The body is late, and the time that is left too short by then. */
    @Test
    void sendsNoRequestWhoseBodyArrivesTooLate() throws IOException {
        send(HEAD);
        awaitOpenRun();
        assertThat(gate.rejected()).isZero();
        nowMillis = policy.timeline().durationMillis() - LONGEST_MILLIS + 1;
        send("body");
        assertThat(readHead()).startsWith("HTTP/1.1 503").contains("retry-after: 0.100");
        assertThat(gate.arrived()).isEqualTo(1);
        assertThat(gate.rejected()).isEqualTo(1);
    }

    private long count(String name) {
        return metrics.registry().getCounters().get(name).getCount();
    }
}
