package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.engine.ReservationResult;
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
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import static org.assertj.core.api.Assertions.assertThat;

class ReservedHelpersTest {

    private static final UpstreamEntry LEAD = engine("lead", 1);
    private static final UpstreamEntry HELPER = engine("helper", 2);
    private static final UpstreamEntry REFUSING = engine("refusing", 3);
    private static final UpstreamEntry SLOW = engine("slow", 4);
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 300_000, 50, 1, 0, 0, 200, 0, Integer.MAX_VALUE, 800);

    private int calls;
    private int releases;
    private final Sinks.One<ReservationResult> slowAnswer = Sinks.one();
    private final ServingMetrics metrics = new ServingMetrics();
    private final EngineLoadTable loadTable = new EngineLoadTable();
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
            loadTable,
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
            metrics);

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

    /** Accepts all calls but those to the refusing engine, and counts them; the slow engine answers later. */
    private final class Engines implements EngineCalls {
        @Override
        public Mono<ReservationResult> reserve(
                UpstreamEntry engine,
                String reservation,
                long tokens,
                long holdMillis,
                Consumer<UpstreamNotice> onNotice) {
            Mono<ReservationResult> accepted = Mono.fromSupplier(() -> accept(onNotice))
                    .map(done ->
                            engine.equals(REFUSING) ? ReservationResult.noMemory(20_000) : ReservationResult.RESERVED);
            return engine.equals(SLOW) ? accepted.then(slowAnswer.asMono()) : accepted;
        }

        @Override
        public Mono<Boolean> release(UpstreamEntry engine, String reservation, Consumer<UpstreamNotice> onNotice) {
            releases++;
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

    /** Returns a prompt's helpers, each with 100,000 tokens of its memory. */
    private ReservedHelpers helpers(UpstreamEntry... engines) {
        List<EnginePart> parts = new ArrayList<>(List.of(new EnginePart(LEAD.id(), 10, 300_000)));
        for (UpstreamEntry engine : engines) {
            upstreams.put(engine);
            loadTable.load(engine.id()).profile(PROFILE);
            parts.add(new EnginePart(engine.id(), 10, 100_000));
        }
        EnginePlacement placement = new EnginePlacement(
                new PlacementId(new ProcessId(new HostId("host"), 1), 1),
                parts,
                300_000 + 100_000L * engines.length,
                3_000,
                500);
        loadTable.place(placement, 0, 10_000);
        UpstreamChoice choice = new UpstreamChoice(LEAD, List.of(engines), placement, 100, true, false, false);
        return new ReservedHelpers(context, new UpstreamGates(context), choice);
    }

    private long counted(String counter) {
        return metrics.registry().counter(counter).getCount();
    }

    @Test
    void chargesReservationCallsToALimitedEngineWithoutAPermit() {
        upstreams.put(HELPER);
        limits.reportedByPeer(HELPER.id(), new RateLimit(2, 0));
        ReservedHelpers helpers = helpers(HELPER);
        assertThat(helpers.reserve().block()).isTrue();
        helpers.release();
        assertThat(calls).isEqualTo(2);
        assertThat(limitGossip.chargedRequests).isEqualTo(2);
        assertThat(limitGossip.permitRequests).isZero();
    }

    @Test
    void namesTheRefusingHelperAndCountsTheOtherReservationsAsInVain() {
        ReservedHelpers helpers = helpers(HELPER, REFUSING);
        assertThat(helpers.reserve().block()).isFalse();
        assertThat(helpers.refused())
                .containsExactly(
                        new RefusedReservation(REFUSING.id(), 100_000, 300_000, ReservationResult.noMemory(20_000)));
        helpers.release();
        assertThat(counted("reservations.no_memory")).isEqualTo(1);
        assertThat(counted("reservations.in_vain")).isEqualTo(1);
    }

    /** A call that is cancelled may be executed after the release, and its memory would stay reserved for nobody. */
    @Test
    void awaitsTheAnswersOfAllHelpersAfterARefusal() {
        AtomicReference<Boolean> reserved = new AtomicReference<>();
        ReservedHelpers helpers = helpers(REFUSING, SLOW);
        helpers.reserve().subscribe(reserved::set);
        assertThat(reserved).hasValue(null);
        slowAnswer.tryEmitValue(ReservationResult.UNANSWERED);
        assertThat(reserved).hasValue(false);
        assertThat(helpers.refused()).extracting(RefusedReservation::helper).containsExactly(REFUSING.id(), SLOW.id());
    }

    @Test
    void countsReservationsOfASentRequestAsUsed() {
        ReservedHelpers helpers = helpers(HELPER);
        assertThat(helpers.reserve().block()).isTrue();
        helpers.use();
        helpers.release();
        assertThat(counted("reservations.reserved")).isEqualTo(1);
        assertThat(counted("reservations.in_vain")).isZero();
    }

    /** The memory stayed reserved for nobody if the engine executed the reservation after the release. */
    @Test
    void releasesMemoryAgainWhoseReservationIsAnsweredAfterTheRelease() {
        ReservedHelpers helpers = helpers(SLOW);
        helpers.reserve().subscribe();
        helpers.release();
        assertThat(releases).isEqualTo(1);
        slowAnswer.tryEmitValue(ReservationResult.RESERVED);
        assertThat(releases).isEqualTo(2);
    }
}
