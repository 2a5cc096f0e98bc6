package org.apricotstack.serving.run;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
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
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.CallerRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** How much time a stopping router requires for a request, by where its caller could go instead. */
class StopGateTest {

    private static final ServiceId SERVICE = new ServiceId("s");
    private static final EngineProfile ENGINE = new EngineProfile(10, 100_000, 50, 1, 0.01, 0.004, 100, 0, 2_048, 800);
    private static final long LIMIT_MILLIS = 10_000;
    private static final long ANSWER_TOKENS = 3_000;
    private static final long PREDICTED_MILLIS = 100;
    private static final long STOP_MILLIS = 8_000;

    /** Time since the signal; the longest time of the request fits into the rest, twice that time does not. */
    private static final long NOW_MILLIS = 2_000;

    private static final UpstreamEntry UPSTREAM = new UpstreamEntry(
            new UpstreamId("engine", 1), SERVICE, new Address("10.0.0.1", 1), new DataCentreId("east"), 8, false, 1);

    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final StopPolicy policy = new StopPolicy(STOP_MILLIS, new AddressLifetime(1));

    private static RequestFacts facts() {
        Route route = new Route(
                "r",
                "h",
                "/",
                RequestKind.STREAMING,
                LIMIT_MILLIS,
                500,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                true,
                true,
                100);
        CallerRequest request = new CallerRequest(
                "id",
                "h",
                "/",
                null,
                CallerRequest.NO_TIMEOUT,
                null,
                5_000,
                ANSWER_TOKENS,
                List.of(),
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
        ServiceProfile profile = new ServiceProfile(SERVICE, 10, Optional.of(ENGINE));
        ServingConfiguration configuration = new ServingConfiguration(
                1,
                new RouteTable(List.of(route)),
                Map.of(SERVICE, profile),
                CallerLimits.DEFAULT,
                new AccountKeys(Map.of()));
        return RequestFacts.of(request, configuration, route, null, 0);
    }

    private boolean takes(OtherRouters others) {
        loadTable.load(UPSTREAM.id()).profile(ENGINE);
        UpstreamChoice choice = new UpstreamChoice(UPSTREAM, List.of(), null, PREDICTED_MILLIS, false, false, false);
        StopGate gate = new StopGate(policy, () -> others, loadTable, new StallDetector(0));
        policy.timeline().begin(0, 0);
        return gate.takes(gate.requiredMillis(facts(), choice, NOW_MILLIS), NOW_MILLIS);
    }

    /** Guards against an answer that is cut as its engine slows down, though another router would have served it. */
    @Test
    void takesNoRequestThatASlowdownWouldCutWhileAnotherRouterServesItAtOnce() {
        assertThat(takes(new OtherRouters(true, List.of()))).isFalse();
    }

    /** Guards against a rejected caller that has no other router to go to. */
    @Test
    void takesARequestThatASlowdownWouldCutWhileNoOtherRouterIsReady() {
        assertThat(takes(OtherRouters.NONE)).isTrue();
    }

    /** Guards against a repeat that reaches another stopping router, which rejects it too. */
    @ParameterizedTest
    @CsvSource({"5600, true", "7400, true", "3900, false"})
    void takesARequestThatAnotherStoppingRouterMayHaveToReject(long otherLeftMillis, boolean expected) {
        assertThat(takes(new OtherRouters(true, List.of(otherLeftMillis)))).isEqualTo(expected);
    }
}
