package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class SilenceCheckTest {

    private static final ProcessId ROUTER = new ProcessId(new HostId("router"), 1);

    private static final UpstreamEntry ENGINE = new UpstreamEntry(
            new UpstreamId("engine", 1),
            new ServiceId("service"),
            new Address("127.0.0.1", 1),
            new DataCentreId("east"),
            8,
            false,
            1);

    private static final UpstreamChoice ALONE = new UpstreamChoice(ENGINE, List.of(), null, 0, false, false, false);

    private static final UpstreamEntry HELPER = new UpstreamEntry(
            new UpstreamId("helper", 1),
            ENGINE.service(),
            new Address("127.0.0.1", 2),
            ENGINE.dataCentre(),
            8,
            false,
            1);

    private static final EngineProfile PROFILE =
            new EngineProfile(8, 300_000, 50, 1, 0, 0, 200, 0, Integer.MAX_VALUE, 800);

    private long nowMillis;
    private int queries;
    private Mono<EngineCalls.Report> report = Mono.just(new EngineCalls.Report(5, 3, 1));
    private UpstreamNotice notice = UpstreamNotice.NONE;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final LimitTable limits = new LimitTable();
    private final DenyingLimitGossip limitGossip = new DenyingLimitGossip();
    private final ServingContext context = new ServingContext(
            null,
            null,
            loop,
            null,
            new UpstreamTable(),
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
            new ServingMetrics());
    private final SilenceCheck check = new SilenceCheck(context, new UpstreamGates(context));

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    /** Counts the status queries. */
    private final class Engines implements EngineCalls {
        @Override
        public Mono<ReservationResult> reserve(
                UpstreamEntry engine,
                String reservation,
                long tokens,
                long holdMillis,
                Consumer<UpstreamNotice> onNotice) {
            return Mono.error(new IllegalStateException("No reservation call is expected."));
        }

        @Override
        public Mono<Boolean> release(UpstreamEntry engine, String reservation, Consumer<UpstreamNotice> onNotice) {
            return Mono.error(new IllegalStateException("No reservation call is expected."));
        }

        @Override
        public Mono<Report> report(UpstreamEntry engine, Consumer<UpstreamNotice> onNotice) {
            return Mono.defer(() -> {
                queries++;
                onNotice.accept(notice);
                return report;
            });
        }
    }

    /**
     * Under load, all streams of a busy engine stalled. Each was moved and its prompt prefilled again elsewhere, which
     * overloaded the whole fleet. The busy engine had been taken for a dead one.
     */
    @Test
    void keepsStreamsAtABusyEngine() {
        assertThat(check.cause(ALONE, true).block()).isEqualTo(SilenceCause.BUSY);
        assertThat(loadTable.load(ENGINE.id()).slowdown()).isEqualTo(5);
    }

    @Test
    void movesStreamsFromAnEngineThatDoesNotAnswer() {
        report = Mono.error(new IllegalStateException("no answer"));
        assertThat(check.cause(ALONE, true).block()).isEqualTo(SilenceCause.DEAD);
    }

    @Test
    void movesStreamsFromARestartedEngine() {
        report = Mono.just(new EngineCalls.Report(1, 0, ENGINE.id().incarnation() + 1));
        assertThat(check.isDead(ENGINE).block()).isTrue();
    }

    @Test
    void movesASingleSilentStreamWithoutAStatusQuery() {
        check.eventReceived(ENGINE.id());
        nowMillis += 100;
        assertThat(check.cause(ALONE, true).block()).isEqualTo(SilenceCause.PASSED_OVER);
        assertThat(queries).isZero();
    }

    /**
     * After all routers had started at once, healthy engines were avoided one after the other. A request in the queue
     * of an engine has no first event while the engine decodes other streams; the request was taken for lost and the
     * engine for faulty.
     */
    @ParameterizedTest
    @CsvSource({"4, BUSY", "0, PASSED_OVER"})
    void distinguishesAQueuedFromALostRequestWhileOtherStreamsContinue(int queued, SilenceCause expected) {
        report = Mono.just(new EngineCalls.Report(1, queued, 1));
        check.eventReceived(ENGINE.id());
        assertThat(check.cause(ALONE, false).block()).isEqualTo(expected);
    }

    /**
     * In phases with many of the longest prompts, these were late by seconds and prefilled twice. Several engines share
     * a prefill, and a helper runs a newer part first. The responding engine had an empty queue and decoded other
     * streams, so the request was taken for lost though a helper had not yet prefilled its part.
     */
    @ParameterizedTest
    @CsvSource({"1000, BUSY", "1900, BUSY", "2100, PASSED_OVER"})
    void keepsAPromptThatHelpersStillPrefill(long afterMillis, SilenceCause expected) {
        loadTable.load(ENGINE.id()).profile(PROFILE);
        loadTable.load(HELPER.id()).profile(PROFILE);
        EnginePlacement older = place(1, ENGINE, HELPER);
        place(2, HELPER);
        UpstreamChoice choice = new UpstreamChoice(ENGINE, List.of(HELPER), older, 1_000, false, false, false);
        report = Mono.just(new EngineCalls.Report(1, 0, 1));
        nowMillis = afterMillis;
        check.eventReceived(ENGINE.id());

        assertThat(check.cause(choice, false).block()).isEqualTo(expected);
    }

    /** Places a prompt of which each engine prefills a part for a second, ahead of earlier parts. */
    private EnginePlacement place(long number, UpstreamEntry... engines) {
        List<EnginePart> parts = new ArrayList<>();
        for (UpstreamEntry engine : engines) {
            parts.add(new EnginePart(engine.id(), 1_000, 0));
        }
        parts.add(new EnginePart(new UpstreamId("other-" + number, 1), 1_000, 0));
        EnginePlacement placement = new EnginePlacement(new PlacementId(ROUTER, number), parts, 200_000, 3_000, 1_000);
        loadTable.place(placement, nowMillis, 15_000);
        return placement;
    }

    @Test
    void keepsARequestAtAnEngineThatIsSilentOnAllStreamsButReportsItsStatus() {
        report = Mono.just(new EngineCalls.Report(1, 0, 1));
        assertThat(check.cause(ALONE, false).block()).isEqualTo(SilenceCause.BUSY);
    }

    @Test
    void queriesOnceForAllStreamsThatFallSilentTogether() {
        for (int i = 0; i < 10; i++) {
            check.cause(ALONE, true).block();
        }
        assertThat(queries).isEqualTo(1);
        nowMillis += 10_000;
        check.cause(ALONE, true).block();
        assertThat(queries).isEqualTo(2);
    }

    @Test
    void assumesAnEngineWithAUsedUpLimitIsBusyWithoutAQuery() {
        limits.reportedByPeer(ENGINE.id(), new RateLimit(1, 0));
        assertThat(check.cause(ALONE, false).block()).isEqualTo(SilenceCause.BUSY);
        assertThat(limitGossip.permitRequests).isEqualTo(1);
        assertThat(queries).isZero();
    }

    @Test
    void appliesTheLimitInAStatusReport() {
        report = Mono.just(new EngineCalls.Report(1, 0, 1));
        notice = new UpstreamNotice(
                new AdvertisedLimit(AdvertisedLimit.Kind.STATED, 3), AdvertisedDrain.ABSENT, AdvertisedBackOff.ABSENT);
        check.cause(ALONE, false).block();
        assertThat(limits.find(ENGINE.id()).perSecond()).isEqualTo(3);
    }

    @Test
    void assumesAnEngineInBackOffIsBusyWithoutAQuery() {
        UpstreamGates gates = new UpstreamGates(context);
        SilenceCheck gated = new SilenceCheck(context, gates);
        AdvertisedBackOff backOff = new AdvertisedBackOff(AdvertisedBackOff.Kind.STATED, 3_000);
        gates.answered(
                ENGINE.id(), new UpstreamNotice(AdvertisedLimit.ABSENT, AdvertisedDrain.ABSENT, backOff), 0, null);
        assertThat(gated.isDead(ENGINE).block()).isFalse();
        assertThat(queries).isZero();
        nowMillis += 3_000;
        gated.isDead(ENGINE).block();
        assertThat(queries).isEqualTo(1);
    }
}
