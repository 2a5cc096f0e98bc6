package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.apricotstack.core.engine.EngineLoad;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.ReservationResult;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.ForwardingParameters;
import org.apricotstack.serving.http.OutcomeSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Memory that one attempt reserves at its helpers, released however the attempt ends.
 *
 * <p>If this process dies, or a reserve or release call is lost or executed seconds late, memory stays reserved though
 * no request uses it. A reservation therefore expires before the time for which unused memory may stay reserved, and is
 * renewed while the request runs, so that a crash of this process needs no recovery. A release is repeated until it is
 * answered, and if any call was not answered, until a late one can no longer be executed. An engine that restarted
 * holds no reservation: a renewal there would take memory that no request uses, so its reservation is dropped.
 */
final class ReservedHelpers {

    /** Duration of a reservation, in milliseconds; memory may stay reserved for at most 4 s after its request ended. */
    static final long HOLD_MILLIS = 3_600;

    /** Interval between renewals, in milliseconds; two in a row may be lost. */
    private static final long RENEW_MILLIS = 1_000;

    /** Interval between releases while they are not answered, in milliseconds. */
    private static final long RELEASE_MILLIS = 300;

    /** Interval between releases while an unanswered call may still be executed, in milliseconds. */
    private static final long LATE_RELEASE_MILLIS = 1_000;

    /** Time after which an unanswered call is no longer executed, in milliseconds. */
    private static final long LATE_CALL_MILLIS = 13_000;

    private final ServingContext context;
    private final UpstreamGates gates;
    private final UpstreamChoice choice;
    private final List<ForwardingParameters.Helper> helpers = new ArrayList<>();
    private final List<RefusedReservation> refused = new ArrayList<>();
    private int reservedCount;
    private boolean used;
    private ScheduledFuture<?> renewal;
    private long lastUnansweredMillis = Long.MIN_VALUE / 2;
    private boolean ended;

    /** Creates the helpers of an attempt without reserving memory. */
    ReservedHelpers(ServingContext context, UpstreamGates gates, UpstreamChoice choice) {
        this.context = context;
        this.gates = gates;
        this.choice = choice;
        for (int i = 0; i < choice.helpers().size(); i++) {
            EnginePart part = choice.placement().parts().get(i + 1);
            boolean reserved = choice.reserves() && part.memoryTokens() > 0;
            helpers.add(new ForwardingParameters.Helper(
                    choice.helpers().get(i), reserved ? choice.placement().id() + "-" + i : null));
        }
    }

    /** Returns the helpers as they are sent to the upstream. */
    List<ForwardingParameters.Helper> helpers() {
        return helpers;
    }

    /** Returns the helpers that did not reserve their memory. */
    List<RefusedReservation> refused() {
        return refused;
    }

    /** Records that the request is sent, so that the reservations are not in vain. */
    void use() {
        used = true;
    }

    /**
     * Reserves the memory; the result says whether all of it was reserved. All answers are awaited, so that each helper
     * that refuses is known before the next attempt and no call is left unanswered.
     */
    Mono<Boolean> reserve() {
        return send(this::record)
                .map(ReservationResult::isReserved)
                .reduce(true, Boolean::logicalAnd)
                .doOnNext(done -> {
                    if (done && !ended) {
                        renewal = context.loop().schedule(RENEW_MILLIS, this::renew);
                    }
                });
    }

    /** Releases memory whose reservation was answered after the release, as it may have been executed after it. */
    private void releaseIfEnded(int index, ReservationResult result) {
        if (ended && result.isReserved()) {
            release(helpers.get(index).upstream(), helpers.get(index).reservation());
        }
    }

    /** Records and counts the first answer of a helper. */
    private void record(int index, ReservationResult result) {
        context.metrics().reservationAnswered(result.kind());
        if (result.isReserved()) {
            reservedCount++;
            return;
        }
        UpstreamId helper = helpers.get(index).upstream().id();
        EngineLoad load = context.loadTable().load(helper);
        long tokens = tokens(index);
        refused.add(new RefusedReservation(helper, tokens, load.freeMemoryTokens() + tokens, result));
    }

    /** Returns the memory that the placement uses at a helper, in tokens. */
    private long tokens(int index) {
        return choice.placement().parts().get(index + 1).memoryTokens();
    }

    /** Renews the reservations, whether or not earlier calls succeeded. */
    private void renew() {
        if (!ended) {
            renewal = context.loop().schedule(RENEW_MILLIS, this::renew);
            OutcomeSubscriber.subscribe(context.loop(), send((index, result) -> {}), result -> {}, error -> {});
        }
    }

    /** Sends one reserve call to each helper that needs one, and passes each result to a handler. */
    private Flux<ReservationResult> send(AnswerHandler handler) {
        return Flux.range(0, helpers.size())
                .filter(i -> helpers.get(i).reservation() != null)
                .filter(i -> !context.upstreams()
                        .hasRestarted(helpers.get(i).upstream().id()))
                .flatMap(i -> send(helpers.get(i).upstream(), onNotice -> context.engines()
                                .reserve(
                                        helpers.get(i).upstream(),
                                        helpers.get(i).reservation(),
                                        tokens(i),
                                        HOLD_MILLIS,
                                        onNotice))
                        .doOnError(e -> unanswered(helpers.get(i).upstream()))
                        .onErrorReturn(ReservationResult.UNANSWERED)
                        .doOnNext(result -> handler.answered(i, result))
                        .doOnNext(result -> releaseIfEnded(i, result)));
    }

    /**
     * Sends one call. It is charged to the engine's rate limit, but needs no permit: without it the request would be
     * cut off, or memory would stay reserved.
     */
    private <T> Mono<T> send(UpstreamEntry engine, Function<Consumer<UpstreamNotice>, Mono<T>> call) {
        return Mono.defer(() -> {
            long sentMillis = context.nowMillis();
            gates.limits().charge(engine.id());
            return call.apply(notice -> gates.answered(engine.id(), notice, sentMillis, null));
        });
    }

    /** Records an unanswered call, which may be executed late. */
    private void unanswered(UpstreamEntry engine) {
        lastUnansweredMillis = context.nowMillis();
        context.outlierDetector().reservationCallLost(engine.id(), lastUnansweredMillis);
    }

    /** Releases all reservations. */
    void release() {
        if (ended) {
            return;
        }
        ended = true;
        if (!used && reservedCount > 0) {
            context.metrics().reservedInVain(reservedCount);
        }
        if (renewal != null) {
            renewal.cancel(false);
        }
        for (ForwardingParameters.Helper helper : helpers) {
            if (helper.reservation() != null) {
                release(helper.upstream(), helper.reservation());
            }
        }
    }

    /** Sends a release, and repeats it while it is not answered or a late call may follow. */
    private void release(UpstreamEntry engine, String reservation) {
        if (context.upstreams().find(engine.id()) == null) {
            return;
        }
        OutcomeSubscriber.subscribe(
                context.loop(),
                send(engine, onNotice -> context.engines().release(engine, reservation, onNotice)),
                done -> releaseLater(engine, reservation, LATE_RELEASE_MILLIS),
                error -> {
                    unanswered(engine);
                    releaseLater(engine, reservation, RELEASE_MILLIS);
                });
    }

    /** Schedules another release if an unanswered call may still be executed. */
    private void releaseLater(UpstreamEntry engine, String reservation, long delayMillis) {
        if (context.nowMillis() - lastUnansweredMillis < LATE_CALL_MILLIS) {
            context.loop().schedule(delayMillis, () -> release(engine, reservation));
        }
    }

    /** Processes the answer of a helper. */
    @FunctionalInterface
    private interface AnswerHandler {

        /** Processes the answer of the helper at a position. */
        void answered(int index, ReservationResult result);
    }
}
