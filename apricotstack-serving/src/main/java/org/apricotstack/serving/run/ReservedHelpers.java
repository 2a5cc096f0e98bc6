package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.notice.UpstreamNotice;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.ForwardingParameters;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The memory that one send reserves at its helpers, freed on every way out.
 *
 * <p>What goes wrong: this process dies, or an order is lost or carried out seconds late, and memory stays taken though
 * no request uses it. So a reservation lasts less than the time for which unused memory may stay taken, and is renewed
 * while the request runs: nobody has to know of it after a crash. A release is repeated until it is answered, and if
 * any order was not answered, until no late one can be carried out any more. An engine that started again holds
 * nothing: renewing there would take memory that no request uses, so its reservation is over.
 */
final class ReservedHelpers {

    /** Time that a reservation lasts, in milliseconds; memory may stay taken for 4 s after its request. */
    static final long HOLD_MILLIS = 3_600;

    /** Time between two renewals, in milliseconds; two may be lost in a row. */
    private static final long RENEW_MILLIS = 1_000;

    /** Time between two releases, in milliseconds. */
    private static final long RELEASE_MILLIS = 300;

    /** Time between two releases against orders that may still be carried out, in milliseconds. */
    private static final long LATE_RELEASE_MILLIS = 1_000;

    /** Time after which an order that was not answered is no longer carried out, in milliseconds. */
    private static final long LATE_ORDER_MILLIS = 13_000;

    private final ServingContext context;
    private final UpstreamGates gates;
    private final UpstreamChoice choice;
    private final List<ForwardingParameters.Helper> helpers = new ArrayList<>();
    private ScheduledFuture<?> renewal;
    private long unansweredMillis = Long.MIN_VALUE / 2;
    private boolean ended;

    /** Creates the helpers of a send; nothing is reserved yet. */
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

    /** Returns the helpers as the upstream is told of them. */
    List<ForwardingParameters.Helper> helpers() {
        return helpers;
    }

    /** Reserves the memory; the result says whether all of it is reserved. */
    Mono<Boolean> reserve() {
        return order().doOnNext(done -> {
            if (done && !ended) {
                renewal = context.loop().schedule(RENEW_MILLIS, this::renew);
            }
        });
    }

    /** Renews the reservations, whatever became of the orders before. */
    private void renew() {
        if (!ended) {
            renewal = context.loop().schedule(RENEW_MILLIS, this::renew);
            order().subscribe();
        }
    }

    /** Orders all reservations once. */
    private Mono<Boolean> order() {
        return Flux.range(0, helpers.size())
                .filter(i -> helpers.get(i).reservation() != null)
                .filter(i -> !context.upstreams()
                        .hasRestarted(helpers.get(i).upstream().id()))
                .flatMap(i -> order(helpers.get(i).upstream(), onNotice -> context.engines()
                                .reserve(
                                        helpers.get(i).upstream(),
                                        helpers.get(i).reservation(),
                                        choice.placement().parts().get(i + 1).memoryTokens(),
                                        HOLD_MILLIS,
                                        onNotice))
                        .doOnError(e -> unanswered(helpers.get(i).upstream()))
                        .onErrorReturn(false))
                .all(reserved -> reserved);
    }

    /**
     * Gives one order. It counts towards the engine's limit, but is not held back: without it the request would be cut
     * off, or memory would stay taken.
     */
    private Mono<Boolean> order(UpstreamEntry engine, Function<Consumer<UpstreamNotice>, Mono<Boolean>> order) {
        return Mono.defer(() -> {
            long sentMillis = context.nowMillis();
            gates.limits().charge(engine.id());
            return order.apply(notice -> gates.answered(engine.id(), notice, sentMillis, null));
        });
    }

    /** Notes an order that was not answered and may be carried out late. */
    private void unanswered(UpstreamEntry engine) {
        unansweredMillis = context.nowMillis();
        context.outlierDetector().ordersLost(engine.id(), unansweredMillis);
    }

    /** Releases all memory. */
    void release() {
        if (ended) {
            return;
        }
        ended = true;
        if (renewal != null) {
            renewal.cancel(false);
        }
        for (ForwardingParameters.Helper helper : helpers) {
            if (helper.reservation() != null) {
                release(helper.upstream(), helper.reservation());
            }
        }
    }

    /** Sends a release, and again while it is not answered or a late order may follow. */
    private void release(UpstreamEntry engine, String reservation) {
        if (context.upstreams().find(engine.id()) == null) {
            return;
        }
        order(engine, onNotice -> context.engines().release(engine, reservation, onNotice))
                .subscribe(done -> releaseLater(engine, reservation, LATE_RELEASE_MILLIS), error -> {
                    unanswered(engine);
                    releaseLater(engine, reservation, RELEASE_MILLIS);
                });
    }

    /** Plans another release if an order may still be carried out. */
    private void releaseLater(UpstreamEntry engine, String reservation, long delayMillis) {
        if (context.nowMillis() - unansweredMillis < LATE_ORDER_MILLIS) {
            context.loop().schedule(delayMillis, () -> release(engine, reservation));
        }
    }
}
