package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.Forwarding;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The memory that one send reserves at its helpers, released on every way out.
 *
 * <p>What goes wrong: an order is lost or carried out seconds late, and memory stays taken though no request uses it.
 * Each reservation therefore ends by itself soon, is never renewed, and its release is repeated until it is answered.
 */
final class ReservedHelpers {

    /** Time that a reservation lasts, in milliseconds: less than the 9 s for which memory may lie unused. */
    static final long HOLD_MILLIS = 8_500;

    /** Times that a release is sent at the most, and the time between two, in milliseconds; together over 4 s. */
    private static final int MOST_RELEASES = 12;

    private static final long RELEASE_PAUSE_MILLIS = 300;

    private final RunContext context;
    private final UpstreamChoice choice;
    private final List<Forwarding.Helper> helpers = new ArrayList<>();

    /** Creates the helpers of a send; nothing is reserved yet. */
    ReservedHelpers(RunContext context, UpstreamChoice choice) {
        this.context = context;
        this.choice = choice;
        for (int i = 0; i < choice.helpers().size(); i++) {
            EnginePart part = choice.placement().parts().get(i + 1);
            boolean reserved = choice.reserves() && part.memoryTokens() > 0;
            helpers.add(new Forwarding.Helper(
                    choice.helpers().get(i), reserved ? choice.placement().id() + "-" + i : null));
        }
    }

    /** Returns the helpers as the upstream is told of them. */
    List<Forwarding.Helper> helpers() {
        return helpers;
    }

    /**
     * Reserves the memory.
     *
     * @return whether all of it is reserved
     */
    Mono<Boolean> reserve() {
        return Flux.range(0, helpers.size())
                .filter(i -> helpers.get(i).reservation() != null)
                .flatMap(i -> context.reservations()
                        .reserve(
                                helpers.get(i).upstream(),
                                helpers.get(i).reservation(),
                                choice.placement().parts().get(i + 1).memoryTokens(),
                                HOLD_MILLIS)
                        .onErrorReturn(false))
                .all(reserved -> reserved);
    }

    /** Releases all memory. */
    void release() {
        for (Forwarding.Helper helper : helpers) {
            if (helper.reservation() != null) {
                release(helper.upstream(), helper.reservation(), MOST_RELEASES);
            }
        }
    }

    /** Sends a release until it is answered. */
    private void release(UpstreamEntry engine, String reservation, int left) {
        context.reservations().release(engine, reservation).subscribe(done -> {}, error -> {
            if (left > 1) {
                context.loop().schedule(RELEASE_PAUSE_MILLIS, () -> release(engine, reservation, left - 1));
            }
        });
    }
}
