package org.apricotstack.core.entry;

import java.time.Duration;
import java.util.function.Supplier;

import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Ends answers at their time limits. */
final class TimeLimits {

    private final MonotonicClock clock;
    private final Scheduler timer;

    /** Creates time limits with a clock and its timer. */
    TimeLimits(MonotonicClock clock, Scheduler timer) {
        this.clock = clock;
        this.timer = timer;
    }

    /**
     * Ends an answer at its deadline, even if parts of it have arrived.
     *
     * @param answer the answer
     * @param deadline the time by which it must have ended
     * @param refusal creates the refusal at the deadline, with the outcome known at that time
     * @return the answer up to its completion, or an error with the refusal
     */
    Flux<AttemptSignal> endBy(Flux<AttemptSignal> answer, Deadline deadline, Supplier<Refusal> refusal) {
        Mono<AttemptSignal> end = Mono.delay(Duration.ofMillis(deadline.remainingMillis(clock)), timer)
                .then(Mono.error(() -> refusal.get().toException()));
        return answer.mergeWith(end).takeUntil(signal -> signal instanceof AttemptSignal.Completed);
    }
}
