package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.EngineProfile;
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
    private int asked;
    private Mono<EngineCalls.Report> report = Mono.just(new EngineCalls.Report(5, 3, 1));
    private UpstreamNotice notice = UpstreamNotice.NONE;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final EngineLoadTable board = new EngineLoadTable();
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
            board,
            null,
            null,
            new Engines(),
            null,
            null,
            null,
            limits,
            limitGossip,
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

    /** Counts the questions. */
    private final class Engines implements EngineCalls {
        @Override
        public Mono<Boolean> reserve(
                UpstreamEntry engine,
                String reservation,
                long tokens,
                long holdMillis,
                Consumer<UpstreamNotice> heard) {
            return Mono.error(new IllegalStateException("No order is expected."));
        }

        @Override
        public Mono<Boolean> release(UpstreamEntry engine, String reservation, Consumer<UpstreamNotice> heard) {
            return Mono.error(new IllegalStateException("No order is expected."));
        }

        @Override
        public Mono<Report> report(UpstreamEntry engine, Consumer<UpstreamNotice> heard) {
            return Mono.defer(() -> {
                asked++;
                heard.accept(notice);
                return report;
            });
        }
    }

    /**
     * Symptom: under load the fleet went into overload by itself. Sequence: all streams of an engine pause, each is
     * moved
     * and its prompt read again elsewhere. Cause: a busy engine was taken for a dead one.
     */
    @Test
    void leavesStreamsAtAnEngineThatIsBusy() {
        assertThat(check.reason(ALONE, true).block()).isEqualTo(Silence.BUSY);
        assertThat(board.load(ENGINE.id()).slowdown()).isEqualTo(5);
    }

    @Test
    void movesStreamsFromAnEngineThatDoesNotAnswer() {
        report = Mono.error(new IllegalStateException("no answer"));
        assertThat(check.reason(ALONE, true).block()).isEqualTo(Silence.GONE);
    }

    @Test
    void movesStreamsFromAnEngineThatStartedAgain() {
        report = Mono.just(new EngineCalls.Report(1, 0, ENGINE.id().incarnation() + 1));
        assertThat(check.gone(ENGINE).block()).isTrue();
    }

    @Test
    void movesAStreamThatIsSilentAloneWithoutAsking() {
        check.progress(ENGINE.id());
        nowMillis += 100;
        assertThat(check.reason(ALONE, true).block()).isEqualTo(Silence.PASSED_OVER);
        assertThat(asked).isZero();
    }

    /**
     * Symptom: after all routers had started at once, engines were avoided one after the other, though all were sound.
     * Sequence: an engine with a queue writes streams, a request in its queue has no first event yet. Cause: a request
     * without an event beside streams that go on was taken for lost, and its engine for faulty.
     */
    @ParameterizedTest
    @CsvSource({"4, BUSY", "0, PASSED_OVER"})
    void tellsAQueueFromALossWhileOtherStreamsGoOn(int queued, Silence expected) {
        report = Mono.just(new EngineCalls.Report(1, queued, 1));
        check.progress(ENGINE.id());
        assertThat(check.reason(ALONE, false).block()).isEqualTo(expected);
    }

    /**
     * Symptom: the longest prompts were late by seconds in phases with many of them, and read twice. Sequence: several
     * engines share a reading; a newer one goes ahead of it at a helper; the engine that is to answer has no queue and
     * writes other streams. Cause: the request was taken for lost, though a helper had yet to read its part.
     */
    @ParameterizedTest
    @CsvSource({"1000, BUSY", "1900, BUSY", "2100, PASSED_OVER"})
    void leavesAPromptThatHelpersStillRead(long afterMillis, Silence expected) {
        board.load(ENGINE.id()).profile(PROFILE);
        board.load(HELPER.id()).profile(PROFILE);
        EnginePlacement older = place(1, ENGINE, HELPER);
        place(2, HELPER);
        UpstreamChoice choice = new UpstreamChoice(ENGINE, List.of(HELPER), older, 1_000, false, false, false);
        report = Mono.just(new EngineCalls.Report(1, 0, 1));
        nowMillis = afterMillis;
        check.progress(ENGINE.id());

        assertThat(check.reason(choice, false).block()).isEqualTo(expected);
    }

    /** Places a prompt of which each engine reads for a second, ahead of what is there. */
    private EnginePlacement place(long number, UpstreamEntry... engines) {
        List<EnginePart> parts = new ArrayList<>();
        for (UpstreamEntry engine : engines) {
            parts.add(new EnginePart(engine.id(), 1_000, 0));
        }
        parts.add(new EnginePart(new UpstreamId("other-" + number, 1), 1_000, 0));
        EnginePlacement placement = new EnginePlacement(new PlacementId(ROUTER, number), parts, 200_000, 3_000, 1_000);
        board.place(placement, nowMillis, 15_000);
        return placement;
    }

    @Test
    void leavesARequestAtAnEngineThatIsSilentOnAllButAnswers() {
        report = Mono.just(new EngineCalls.Report(1, 0, 1));
        assertThat(check.reason(ALONE, false).block()).isEqualTo(Silence.BUSY);
    }

    @Test
    void asksOnceForAllStreamsThatAreSilentTogether() {
        for (int i = 0; i < 10; i++) {
            check.reason(ALONE, true).block();
        }
        assertThat(asked).isEqualTo(1);
        nowMillis += 10_000;
        check.reason(ALONE, true).block();
        assertThat(asked).isEqualTo(2);
    }

    @Test
    void takesAnEngineForBusyThatMayNotBeAskedAsItsLimitIsUsedUp() {
        limits.reportedByPeer(ENGINE.id(), new RateLimit(1, 0));
        assertThat(check.reason(ALONE, false).block()).isEqualTo(Silence.BUSY);
        assertThat(limitGossip.asked).isEqualTo(1);
        assertThat(asked).isZero();
    }

    @Test
    void readsALimitInAReport() {
        report = Mono.just(new EngineCalls.Report(1, 0, 1));
        notice = new UpstreamNotice(
                new AdvertisedLimit(AdvertisedLimit.Kind.STATED, 3), AdvertisedDrain.ABSENT, AdvertisedBackOff.ABSENT);
        check.reason(ALONE, false).block();
        assertThat(limits.find(ENGINE.id()).perSecond()).isEqualTo(3);
    }

    @Test
    void takesAnEngineForBusyThatAskedForABackOffAndDoesNotAskIt() {
        UpstreamGates gates = new UpstreamGates(context);
        SilenceCheck gated = new SilenceCheck(context, gates);
        AdvertisedBackOff backOff = new AdvertisedBackOff(AdvertisedBackOff.Kind.STATED, 3_000);
        gates.answered(
                ENGINE.id(), new UpstreamNotice(AdvertisedLimit.ABSENT, AdvertisedDrain.ABSENT, backOff), 0, null);
        assertThat(gated.gone(ENGINE).block()).isFalse();
        assertThat(asked).isZero();
        nowMillis += 3_000;
        gated.gone(ENGINE).block();
        assertThat(asked).isEqualTo(1);
    }
}
