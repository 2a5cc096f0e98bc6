package org.apricotstack.router;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.replication.ApplyResult;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentReplica;
import org.apricotstack.core.replication.PlatformDocuments;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.routing.Rendezvous;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Watches one document set of the platform while this router is selected to do so.
 *
 * <p>The platform limits the calls of all clients together to about two thousand per second. Two routers of each data
 * centre watch; the others receive versions from peers. A new process that has not received anything from a serving
 * peer also watches, selected or not, after a random delay, so that the routers of a fleet that starts all at once do
 * not call at the same time.
 */
final class PlatformWatcher implements AutoCloseable {

    /** Number of routers in each data centre that watch. */
    private static final int WATCHERS = 2;

    /** Initial and maximum back-off after a failed call, in milliseconds. */
    private static final long INITIAL_BACK_OFF_MILLIS = 500;

    private static final long MAX_BACK_OFF_MILLIS = 10_000;

    /** Interval at which this router checks whether it is selected to watch, in milliseconds. */
    private static final long SELECTION_CHECK_MILLIS = 1_000;

    private final PlatformDocuments platform;
    private final ReplicationTopic topic;
    private final ReplicationService replication;
    private final BooleanSupplier shouldWatch;
    private final Duration wait;
    private final Scheduler timer;
    private final DoubleSupplier random;
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong consecutiveFailures = new AtomicLong();
    private Disposable loop;

    /**
     * Creates a watcher.
     *
     * @param platform the platform
     * @param topic the document set
     * @param replication receives the deltas
     * @param shouldWatch whether this router currently has to watch
     * @param wait maximum duration of a long poll
     * @param delays timer and random source of the delays
     */
    PlatformWatcher(
            PlatformDocuments platform,
            ReplicationTopic topic,
            ReplicationService replication,
            BooleanSupplier shouldWatch,
            Duration wait,
            Delays delays) {
        this.platform = platform;
        this.topic = topic;
        this.replication = replication;
        this.shouldWatch = shouldWatch;
        this.wait = wait;
        this.timer = delays.timer();
        this.random = delays.random();
    }

    /**
     * Timer and random source of delays.
     *
     * @param timer schedules the delays
     * @param random returns jitter from 0 to 1
     */
    record Delays(Scheduler timer, DoubleSupplier random) {}

    /** Returns whether a router is selected to watch for its data centre. */
    static boolean isWatcher(MemberView view, HostId self, DataCentreId dataCentre) {
        List<HostId> hosts =
                view.usable(dataCentre).stream().map(RosterHost::id).toList();
        List<HostId> order = Rendezvous.order("watch/" + dataCentre, hosts);
        int rank = order.indexOf(self);
        return rank >= 0 && rank < WATCHERS;
    }

    /** Starts after a random delay of at most the given length. */
    void start(Duration maxDelay) {
        Duration delay = Duration.ofMillis(Math.round(maxDelay.toMillis() * random.getAsDouble()));
        loop = Mono.delay(delay, timer)
                .thenMany(Mono.defer(this::isolatedRound).repeat())
                .subscribe();
    }

    /** Runs a round, and backs off if it throws, as an error would end the watch for good. */
    private Mono<Void> isolatedRound() {
        try {
            return round();
        } catch (RuntimeException | Error e) {
            failed(e);
            return backOff();
        }
    }

    /** Makes one call if this router has to watch, and backs off after a failure. */
    private Mono<Void> round() {
        if (!shouldWatch.getAsBoolean()) {
            return Mono.delay(Duration.ofMillis(SELECTION_CHECK_MILLIS), timer).then();
        }
        calls.incrementAndGet();
        DocumentReplica<?> replica = replication.replica(topic);
        long since = replica.version();
        long beyond = beyond(replica);
        long startedMillis = timer.now(TimeUnit.MILLISECONDS);
        return platform.changes(topic, since, beyond, wait)
                .map(delta -> isProgressOrFailed(delta, since))
                .switchIfEmpty(Mono.fromSupplier(() -> waited(startedMillis)))
                .flatMap(succeeded -> {
                    if (succeeded) {
                        consecutiveFailures.set(0);
                        return Mono.<Void>empty();
                    }
                    // A stale platform responds immediately with a version that cannot be adopted. Without a back-off
                    // the calls would use up the rate limit of the platform.
                    return backOff();
                })
                .onErrorResume(error -> backOff());
    }

    /** Offers a delta; one whose receiver throws counts as no progress. */
    private boolean isProgressOrFailed(DocumentDelta delta, long since) {
        try {
            return isProgress(delta, since);
        } catch (RuntimeException | Error e) {
            failed(e);
            return false;
        }
    }

    /** Logs an error that was not caused by the platform's state. */
    private void failed(Throwable error) {
        Logger.error(error, "event=watch_failed topic={}", topic);
    }

    /**
     * Offers a delta and returns whether the platform had a version that is newer than the requested one.
     *
     * <p>If the version is stale only because a peer delivered it in the meantime, the platform is not stale. Backing
     * off in that case made the watchers miss the next change: with eight watchers, most of them receive each change
     * from a peer first, and they backed off for up to ten seconds.
     */
    private boolean isProgress(DocumentDelta delta, long since) {
        ApplyResult applied = replication.offer(topic, delta);
        return applied == ApplyResult.ADOPTED || applied == ApplyResult.STALE && delta.to() > since;
    }

    /** Returns the version that the platform must exceed to respond, so that a rejected version is not sent again. */
    private static long beyond(DocumentReplica<?> replica) {
        DocumentReplica.Rejection rejection = replica.rejection();
        return rejection == null ? replica.version() : Math.max(replica.version(), rejection.version());
    }

    /** Returns whether the platform held the long poll before it reported no change; if not, the watcher backs off. */
    private boolean waited(long startedMillis) {
        return timer.now(TimeUnit.MILLISECONDS) - startedMillis >= wait.toMillis() / 2;
    }

    /** Waits for a back-off that doubles with each consecutive failure, with jitter to spread the calls of watchers. */
    private Mono<Void> backOff() {
        long doublings = Math.min(consecutiveFailures.getAndIncrement(), 10);
        long max = Math.min(MAX_BACK_OFF_MILLIS, INITIAL_BACK_OFF_MILLIS << doublings);
        long delayMillis = max / 2 + Math.round(random.getAsDouble() * max / 2);
        return Mono.delay(Duration.ofMillis(delayMillis), timer).then();
    }

    /** Returns the number of calls made. */
    long calls() {
        return calls.get();
    }

    @Override
    public void close() {
        if (loop != null) {
            loop.dispose();
        }
    }
}
