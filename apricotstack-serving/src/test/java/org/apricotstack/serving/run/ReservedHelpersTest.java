package org.apricotstack.serving.run;

import java.util.List;
import java.util.function.Consumer;

import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedBackOff;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.ratelimit.AdvertisedLimit;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class ReservedHelpersTest {

    private static final UpstreamEntry LEAD = engine("lead", 1);
    private static final UpstreamEntry HELPER = engine("helper", 2);

    private int calls;
    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final LimitTable limits = new LimitTable();
    private final DenyingLimitGossip limitGossip = new DenyingLimitGossip();
    private final ServingContext context = new ServingContext(
            null,
            null,
            loop,
            null,
            upstreams,
            null,
            null,
            null,
            null,
            new Engines(),
            null,
            null,
            null,
            LimitsInForce.advertisedOnly(limits),
            limitGossip,
            null,
            null,
            null,
            log,
            null);

    @AfterEach
    void stop() {
        loop.close();
        log.close();
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

    /** Accepts all calls and counts them. */
    private final class Engines implements EngineCalls {
        @Override
        public Mono<Boolean> reserve(
                UpstreamEntry engine,
                String reservation,
                long tokens,
                long holdMillis,
                Consumer<UpstreamNotice> onNotice) {
            return Mono.fromSupplier(() -> accept(onNotice));
        }

        @Override
        public Mono<Boolean> release(UpstreamEntry engine, String reservation, Consumer<UpstreamNotice> onNotice) {
            return Mono.fromSupplier(() -> accept(onNotice));
        }

        private boolean accept(Consumer<UpstreamNotice> onNotice) {
            calls++;
            onNotice.accept(new UpstreamNotice(
                    new AdvertisedLimit(AdvertisedLimit.Kind.STATED, 2),
                    AdvertisedDrain.ABSENT,
                    AdvertisedBackOff.ABSENT));
            return true;
        }

        @Override
        public Mono<Report> report(UpstreamEntry engine, Consumer<UpstreamNotice> onNotice) {
            return Mono.error(new IllegalStateException("No status query is expected."));
        }
    }

    @Test
    void chargesReservationCallsToALimitedEngineWithoutAPermit() {
        upstreams.put(HELPER);
        limits.reportedByPeer(HELPER.id(), new RateLimit(2, 0));
        EnginePlacement placement = new EnginePlacement(
                new PlacementId(new ProcessId(new HostId("host"), 1), 1),
                List.of(new EnginePart(LEAD.id(), 10, 300_000), new EnginePart(HELPER.id(), 10, 100_000)),
                400_000,
                3_000,
                500);
        UpstreamChoice choice = new UpstreamChoice(LEAD, List.of(HELPER), placement, 100, true, false, false);
        ReservedHelpers helpers = new ReservedHelpers(context, new UpstreamGates(context), choice);
        assertThat(helpers.reserve().block()).isTrue();
        helpers.release();
        assertThat(calls).isEqualTo(2);
        assertThat(limitGossip.chargedRequests).isEqualTo(2);
        assertThat(limitGossip.permitRequests).isZero();
    }
}
