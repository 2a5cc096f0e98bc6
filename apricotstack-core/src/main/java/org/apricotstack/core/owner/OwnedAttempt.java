package org.apricotstack.core.owner;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.StreamGuard;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** The state of one attempt at the owner of its group. */
final class OwnedAttempt {

    /** Minimum rate at which an upstream reads a body, in bytes per millisecond. */
    private static final long MIN_UPLOAD_BYTES_PER_MILLI = 4_000;

    private final QueuedAttempt queued;
    private final StreamGuard guard;
    private final Sinks.Many<AttemptEvent> sink = Sinks.many().unicast().onBackpressureBuffer();
    private final Disposable.Swap subscription = Disposables.swap();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean firstChunk = new AtomicBoolean();
    private volatile Assignment assignment;
    private volatile long lastEventNanos;

    /** Creates the state of a queued attempt. */
    OwnedAttempt(QueuedAttempt queued, MonotonicClock clock) {
        this.queued = queued;
        this.guard =
                new StreamGuard(queued.command().attempt(), queued.command().resumeOffset());
        this.lastEventNanos = clock.nanos();
    }

    /** Returns the events for the entry router. */
    Flux<AttemptEvent> flux() {
        return sink.asFlux();
    }

    /** Sends an event; several threads may send at the same time. */
    synchronized void emit(AttemptEvent event) {
        sink.tryEmitNext(event);
    }

    /** Sends the last event. */
    synchronized void end(AttemptEvent event) {
        ended.set(true);
        sink.tryEmitNext(event);
        sink.tryEmitComplete();
    }

    /** Records that the attempt was dispatched to upstreams, which cannot have sent an event before. */
    void started(Assignment newAssignment, MonotonicClock clock) {
        eventReceived(clock);
        assignment = newAssignment;
    }

    /** Stores the subscription to the upstream, which is cancelled at once if the attempt has already ended. */
    void setSubscription(Disposable newSubscription) {
        subscription.update(newSubscription);
        if (ended.get()) {
            subscription.dispose();
        }
    }

    /** Cancels the stream of the upstream. */
    void cancelUpstream() {
        subscription.dispose();
    }

    /** Records the time of an event from the upstream. */
    void eventReceived(MonotonicClock clock) {
        lastEventNanos = clock.nanos();
    }

    /** Returns the time since the last event from the upstream, or since the dispatch, in milliseconds. */
    long silentMillis(MonotonicClock clock) {
        return (clock.nanos() - lastEventNanos) / Deadline.NANOS_PER_MILLI;
    }

    /** Marks the end; returns whether this call was the first to do so. */
    boolean markEnded() {
        return ended.compareAndSet(false, true);
    }

    /** Marks the first chunk of the answer; returns whether this call was the first to do so. */
    boolean markFirstChunk() {
        return firstChunk.compareAndSet(false, true);
    }

    /** Tells whether the attempt has ended. */
    boolean isEnded() {
        return ended.get();
    }

    /** Tells whether the attempt was dispatched to upstreams. */
    boolean isStarted() {
        return assignment != null;
    }

    /** Returns the upstreams, empty while the attempt is queued. */
    List<Upstream> upstreams() {
        Assignment current = assignment;
        return current == null ? List.of() : current.upstreams();
    }

    /**
     * Returns the helpers, which prefill parts of the prompt for the lead and are not notified when its answer ends.
     */
    List<Upstream> helpers() {
        List<Upstream> current = upstreams();
        return current.size() < 2 ? List.of() : current.subList(1, current.size());
    }

    /**
     * Returns the additional time for which an upstream may be silent while it still reads the body, in milliseconds.
     */
    long uploadMillis() {
        return firstChunk.get() ? 0 : queued.command().work().body().length / MIN_UPLOAD_BYTES_PER_MILLI;
    }

    /** Returns the upstream that generates the answer, or {@code null} while the attempt is queued. */
    Upstream lead() {
        List<Upstream> current = upstreams();
        return current.isEmpty() ? null : current.get(0);
    }

    /** Returns the check of the stream. */
    StreamGuard guard() {
        return guard;
    }

    /** Returns the queued attempt. */
    QueuedAttempt queued() {
        return queued;
    }

    /** Returns the id of the attempt. */
    AttemptId id() {
        return queued.command().attempt();
    }
}
