package org.apricotstack.serving.run;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamChooserTest {

    private static final UpstreamEntry DRAINING = new UpstreamEntry(
            new UpstreamId("leaving", 1),
            new ServiceId("service"),
            new Address("127.0.0.1", 1),
            new DataCentreId("east"),
            8,
            false,
            1);

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final ServingContext context = new ServingContext(
            null,
            null,
            loop,
            null,
            upstreams,
            outlierDetector,
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
            new ServingMetrics());

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    @ParameterizedTest
    @EnumSource(names = {"NO_CONNECTION", "RESET", "SILENT", "FULL"})
    void doesNotAvoidAnUpstreamThatAnnouncedADrain(FailureKind kind) {
        upstreams.put(DRAINING);
        upstreams.drains().reportedByPeer(DRAINING.id(), 0, 0);
        new UpstreamChooser(context, new UpstreamGates(context)).failed(DRAINING.id(), kind);
        assertThat(outlierDetector.failureProbability(DRAINING.id(), 0)).isZero();
    }
}
