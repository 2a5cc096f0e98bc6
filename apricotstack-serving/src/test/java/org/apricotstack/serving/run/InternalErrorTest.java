package org.apricotstack.serving.run;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
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
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.CallerRequest;
import org.apricotstack.serving.http.CallerServer;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InternalErrorTest {

    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final int BODY_BYTES = 4;
    private static final ProcessId PROCESS = new ProcessId(new HostId("router"), 1);
    private static final DataCentreId EAST = new DataCentreId("east");
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final String REQUEST =
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\nbody";

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("router", () -> 0);
    private final ServingMetrics metrics = new ServingMetrics();
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ByteBudget bodies = new ByteBudget(BODY_BYTES);
    private final StopGate gate = new StopGate(
            new StopPolicy(8_000, new AddressLifetime(1)),
            () -> new OtherRouters(true, List.of()),
            loadTable,
            new StallDetector(0));
    private Supplier<ServingConfiguration> configuration = InternalErrorTest::configuration;
    private RetryBudgets budgets = new RetryBudgets(1, 1_000, () -> 1);
    private RequestDispatcher dispatcher;

    private ServingContext context() {
        return new ServingContext(
                PROCESS,
                EAST,
                loop,
                configuration,
                upstreams,
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
                budgets,
                bodies,
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
                1_000,
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

    @AfterEach
    void close() {
        loop.close();
        log.close();
    }

    private String request() throws IOException {
        dispatcher = new RequestDispatcher(context());
        try (CallerServer server =
                new CallerServer(loop, InternalErrorTest::readRequest, dispatcher, () -> CallerLimits.DEFAULT, 10)) {
            Address address = server.listen(new Address("127.0.0.1", 0));
            try (Socket caller = new Socket(address.ip(), address.port())) {
                caller.setSoTimeout(WAIT_TIMEOUT_MILLIS);
                caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }
    }

    @Test
    void answersARequestThatCannotBeOpenedAsNotRun() throws IOException {
        configuration = () -> {
            throw new IllegalStateException("configuration");
        };
        assertThat(request()).startsWith("HTTP/1.1 503").endsWith("internal_error not_run");
        assertThat(count("refusals.internal_error")).isEqualTo(1);
        assertThat(open()).isZero();
    }

    @Test
    void answersARequestThatFailsBeforeItIsSentAsNotRun() throws IOException {
        budgets = null;
        assertThat(request()).startsWith("HTTP/1.1 503").endsWith("internal_error not_run");
        assertThat(count("refusals.internal_error")).isEqualTo(1);
        assertThat(open()).isZero();
        assertThat(bodies.tryReserve(BODY_BYTES)).isTrue();
    }

    /** Without a protocol, the attempt fails while it is sent. */
    @Test
    void answersARequestThatFailsWhileItIsSentAsUnknown() throws IOException {
        upstreams.put(new UpstreamEntry(
                new UpstreamId("upstream", 1), SERVICE, new Address("127.0.0.1", 1), EAST, 6, false, 1));
        assertThat(request()).startsWith("HTTP/1.1 502").endsWith("internal_error may_have_run");
        assertThat(count("refusals.internal_error")).isEqualTo(1);
        assertThat(open()).isZero();
        assertThat(bodies.tryReserve(BODY_BYTES)).isTrue();
    }

    private int open() {
        return CompletableFuture.supplyAsync(() -> dispatcher.open(), loop.loop())
                .join();
    }

    private long count(String name) {
        return metrics.registry().getCounters().get(name).getCount();
    }
}
