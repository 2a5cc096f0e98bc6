package org.apricotstack.serving.run;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.ServiceProfile;
import org.apricotstack.core.route.WeightedService;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlainUpstreamChoiceTest {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final DataCentreId EAST = new DataCentreId("east");
    private static final UpstreamEntry NEAR = entry("near", EAST);
    private static final UpstreamEntry FAR = entry("far", new DataCentreId("west"));
    private static final RequestFacts FACTS = facts(RequestKind.SAFE);
    private static final RequestFacts STREAM_FACTS = facts(RequestKind.STREAMING);

    private long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final ServingMetrics metrics = new ServingMetrics();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ServingContext context = new ServingContext(
            null,
            EAST,
            loop,
            null,
            upstreams,
            new OutlierDetector(),
            new EngineLoadTable(),
            null,
            null,
            null,
            null,
            null,
            null,
            LimitsInForce.advertisedOnly(new LimitTable()),
            new DenyingLimitGossip(),
            null,
            null,
            null,
            log,
            metrics);
    private final UpstreamChooser chooser = new UpstreamChooser(context, new UpstreamGates(context));

    private static UpstreamEntry entry(String name, DataCentreId dataCentre) {
        return new UpstreamEntry(
                new UpstreamId(name, 1), SERVICE, new Address("127.0.0.1", 1), dataCentre, 6, false, 1);
    }

    private static RequestFacts facts(RequestKind kind) {
        Route route = new Route(
                "r", "h", "/", kind, 1_000, 150, 1, List.of(new WeightedService(SERVICE, 1)), 2, true, true, 0);
        return new RequestFacts(
                null, route, null, SERVICE, new ServiceProfile(SERVICE, 10, Optional.empty()), 1, 0, 1_000_000);
    }

    @BeforeEach
    void listUpstreams() {
        upstreams.put(NEAR);
        upstreams.put(FAR);
    }

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    private UpstreamId choose() {
        return chooser.choose(FACTS, false, Set.of()).upstream().id();
    }

    private void requestTakes(long millis) {
        requestTakes(FACTS, millis);
    }

    private void requestTakes(RequestFacts facts, long millis) {
        requestTakes(facts, millis, HttpResponseStatus.OK);
    }

    private void requestTakes(RequestFacts facts, long millis, HttpResponseStatus status) {
        UpstreamChoice choice = chooser.choose(facts, false, Set.of());
        chooser.begin(choice, 1_000);
        Attempt attempt = new Attempt(null, choice, nowMillis);
        nowMillis += millis;
        chooser.answered(facts, attempt, status);
        chooser.end(choice);
    }

    /** Guards against callers that wait for a slow upstream of their data centre while another one is idle. */
    @Test
    void choosesAnotherDataCentreWhileTheNearUpstreamIsSlow() {
        for (int i = 0; i < 20; i++) {
            requestTakes(30);
        }
        assertThat(choose()).isEqualTo(NEAR.id());
        requestTakes(120);
        requestTakes(120);
        assertThat(choose()).isEqualTo(FAR.id());
        assertThat(count("upstream_speed.slow")).isEqualTo(1);
        for (int i = 0; i < 250; i++) {
            requestTakes(30);
        }
        assertThat(choose()).isEqualTo(NEAR.id());
        assertThat(count("upstream_speed.recovered")).isEqualTo(1);
    }

    /** Guards against an upstream that counts as slow because of the lengths of its streams. */
    @Test
    void ignoresTheLengthsOfStreams() {
        for (int i = 0; i < 20; i++) {
            requestTakes(30);
        }
        for (int i = 0; i < 5; i++) {
            requestTakes(STREAM_FACTS, 10_000);
        }
        assertThat(choose()).isEqualTo(NEAR.id());
        assertThat(count("upstream_speed.slow")).isZero();
    }

    /** Guards against a slow upstream that counts as fast because it refuses requests quickly. */
    @Test
    void ignoresTheTimeOfAnswersWithoutWork() {
        for (int i = 0; i < 20; i++) {
            requestTakes(30);
        }
        requestTakes(120);
        requestTakes(FACTS, 5, HttpResponseStatus.NOT_FOUND);
        requestTakes(FACTS, 5, HttpResponseStatus.NOT_MODIFIED);
        requestTakes(120);
        assertThat(choose()).isEqualTo(FAR.id());
        assertThat(count("upstream_speed.slow")).isEqualTo(1);
    }

    /** Guards against speeds that are compared with that of an upstream that has left. */
    @Test
    void ignoresTheLateAnswerOfARemovedUpstream() {
        for (int i = 0; i < 20; i++) {
            requestTakes(30);
        }
        requestTakes(120);
        requestTakes(120);
        while (choose().equals(FAR.id())) {
            chooser.begin(chooser.choose(FACTS, false, Set.of()), 1_000);
        }
        UpstreamChoice removed = new UpstreamChoice(entry("removed", EAST), List.of(), null, 0, false, false, false);
        chooser.answered(FACTS, new Attempt(null, removed, nowMillis - 1), HttpResponseStatus.OK);
        assertThat(choose()).isEqualTo(NEAR.id());
    }

    private long count(String name) {
        return metrics.registry().getCounters().get(name).getCount();
    }
}
