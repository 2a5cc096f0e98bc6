package org.apricotstack.serving.run;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
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
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.CallerRequest;

/** Requests that reach a stopping router, and the upstreams that are chosen for them. */
final class StopRequests {

    private static final ServiceId SERVICE = new ServiceId("s");

    private StopRequests() {}

    /** Returns a request of a plain service, or of one of engines if there is a profile. */
    static RequestFacts facts(
            RequestKind kind,
            EngineProfile engine,
            long targetMillis,
            long promptTokens,
            long answerTokens,
            long deadlineMillis,
            long nowMillis) {
        Route route = new Route(
                "r",
                "h",
                "/",
                kind,
                deadlineMillis,
                targetMillis,
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
                promptTokens,
                answerTokens,
                List.of(),
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
        ServingConfiguration configuration = new ServingConfiguration(
                1,
                new RouteTable(List.of(route)),
                Map.of(SERVICE, new ServiceProfile(SERVICE, 10, Optional.ofNullable(engine))),
                CallerLimits.DEFAULT,
                AccountKeys.NOT_REQUIRED);
        return RequestFacts.of(request, configuration, route, null, nowMillis);
    }

    /** Returns the choice of the upstream of a number, with the time to its first event in milliseconds. */
    static UpstreamChoice choice(int number, long predictedMillis) {
        UpstreamEntry upstream = new UpstreamEntry(
                new UpstreamId("upstream-" + number, 1),
                SERVICE,
                new Address("10.0.0.1", 1 + number),
                new DataCentreId("east"),
                8,
                false,
                1);
        return new UpstreamChoice(upstream, List.of(), null, predictedMillis, false, false, false);
    }
}
