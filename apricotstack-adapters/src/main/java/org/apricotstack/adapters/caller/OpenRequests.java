package org.apricotstack.adapters.caller;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;

/** Counts the requests of callers from their head to the last byte of their response. */
public final class OpenRequests {

    private final AtomicLong count = new AtomicLong();

    /**
     * Counts a request while it is handled.
     *
     * @param handling starts to handle the request; what it returns completes when the response was sent
     * @return the same, counted from the subscription to its end
     */
    public Mono<Void> track(Supplier<Publisher<Void>> handling) {
        return Mono.defer(() -> {
            count.incrementAndGet();
            return Mono.defer(() -> Mono.from(handling.get())).doFinally(end -> count.decrementAndGet());
        });
    }

    /**
     * Returns the number of open requests.
     *
     * @return the number
     */
    public long count() {
        return count.get();
    }
}
