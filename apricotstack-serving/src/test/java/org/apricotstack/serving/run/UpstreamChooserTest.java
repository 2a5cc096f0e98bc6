package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.ReservationResult;
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
import org.junit.jupiter.api.Test;
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

    private static final UpstreamEntry LEAD = engine("lead", 2);
    private static final UpstreamEntry HELPER = engine("helper", 3);

    private final List<UpstreamId> toldAvoided = new ArrayList<>();
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
            new RecordingPlacementGossip(),
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

    private static UpstreamEntry engine(String name, int port) {
        return new UpstreamEntry(
                new UpstreamId(name, 1),
                new ServiceId("service"),
                new Address("127.0.0.1", port),
                new DataCentreId("east"),
                8,
                false,
                1);
    }

    /** Records the upstreams that are reported as avoided. */
    private final class RecordingPlacementGossip implements PlacementGossip {
        @Override
        public boolean hasPeerPlacements() {
            return true;
        }

        @Override
        public void placementStarted(EnginePlacement placement, long limitMillis) {}

        @Override
        public void decodeStarted(EnginePlacement placement) {}

        @Override
        public void placementEnded(EnginePlacement placement) {}

        @Override
        public void drainChanged(UpstreamId upstream) {}

        @Override
        public void upstreamAvoided(UpstreamId upstream, long millis) {
            toldAvoided.add(upstream);
        }
    }

    /** An engine that was gone as a helper was chosen as a helper again as soon as it was no longer avoided. */
    @Test
    void expectsNoHelpFromTheHelperThatWasGone() {
        UpstreamChoice choice = new UpstreamChoice(LEAD, List.of(HELPER), null, 100, false, false, false);
        UpstreamChooser chooser = new UpstreamChooser(context, new UpstreamGates(context));
        chooser.failed(choice, HELPER.id(), FailureKind.HELPER_GONE);
        assertThat(outlierDetector.helps(HELPER.id(), 9_000)).isFalse();
        chooser.failed(choice, LEAD.id(), FailureKind.HELPER_GONE);
        assertThat(outlierDetector.helps(LEAD.id(), 0)).isTrue();
        chooser.failed(choice, LEAD.id(), FailureKind.RESET);
        assertThat(outlierDetector.helps(LEAD.id(), 0)).isTrue();
    }

    /** An engine that only lacked the memory for one prompt must not be lost to all others. */
    @Test
    void expectsNoHelpOnlyFromAnEngineThatRefusesItThoughItHasTheMemory() {
        UpstreamChooser chooser = new UpstreamChooser(context, new UpstreamGates(context));
        chooser.reservationRefused(
                new RefusedReservation(LEAD.id(), 50_000, 60_000, ReservationResult.noMemory(20_000)));
        assertThat(outlierDetector.helps(LEAD.id(), 0)).isTrue();
        assertThat(toldAvoided).isEmpty();
        chooser.reservationRefused(
                new RefusedReservation(HELPER.id(), 50_000, 60_000, ReservationResult.noMemory(60_000)));
        assertThat(outlierDetector.helps(HELPER.id(), 0)).isFalse();
        assertThat(toldAvoided).containsExactly(HELPER.id());
    }
}
