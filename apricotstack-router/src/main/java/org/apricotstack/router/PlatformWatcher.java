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
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Watches one document set of the platform, while it is this router's turn.
 *
 * <p>The platform counts each call and takes about two thousand a second from all readers together. Two routers of
 * each data centre watch; the others get versions from peers. A fresh process that has heard of no serving peer
 * watches too, whoever's turn it is, after a random pause, so that a whole fleet that starts at once does not call
 * at once.
 */
final class PlatformWatcher implements AutoCloseable {

    /** Routers of each data centre that watch. */
    private static final int WATCHERS = 2;

    /** Shortest and longest pause after a failed call, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 500;

    private static final long LONGEST_PAUSE_MILLIS = 10_000;

    /** Pause before this router looks again whether it is its turn, in milliseconds. */
    private static final long TURN_MILLIS = 1_000;

    private final PlatformDocuments platform;
    private final ReplicationTopic topic;
    private final ReplicationService replication;
    private final BooleanSupplier myTurn;
    private final Duration wait;
    private final Scheduler timer;
    private final DoubleSupplier random;
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong failuresInRow = new AtomicLong();
    private Disposable loop;

    /**
     * Creates a watcher.
     *
     * @param platform the platform
     * @param topic the document set
     * @param replication takes what is read
     * @param myTurn whether this router is to watch now
     * @param wait longest wait of one call
     * @param pauses timer and random source of the pauses
     */
    PlatformWatcher(
            PlatformDocuments platform,
            ReplicationTopic topic,
            ReplicationService replication,
            BooleanSupplier myTurn,
            Duration wait,
            Pauses pauses) {
        this.platform = platform;
        this.topic = topic;
        this.replication = replication;
        this.myTurn = myTurn;
        this.wait = wait;
        this.timer = pauses.timer();
        this.random = pauses.random();
    }

    /**
     * What pauses are made of.
     *
     * @param timer runs them
     * @param random spreads them, 0 to 1
     */
    record Pauses(Scheduler timer, DoubleSupplier random) {}

    /** Tells whether a router is one of those that watch for its data centre. */
    static boolean isWatcher(MemberView view, HostId self, DataCentreId dataCentre) {
        List<HostId> hosts =
                view.usable(dataCentre).stream().map(RosterHost::id).toList();
        List<HostId> order = Rendezvous.order("watch/" + dataCentre, hosts);
        int place = order.indexOf(self);
        return place >= 0 && place < WATCHERS;
    }

    /** Starts after a random part of a pause. */
    void start(Duration longestPause) {
        Duration pause = Duration.ofMillis(Math.round(longestPause.toMillis() * random.getAsDouble()));
        loop = Mono.delay(pause, timer)
                .thenMany(Mono.defer(this::round).repeat())
                .subscribe(done -> {}, error -> {});
    }

    /** Makes one call if it is this router's turn, and pauses after a failure. */
    private Mono<Void> round() {
        if (!myTurn.getAsBoolean()) {
            return Mono.delay(Duration.ofMillis(TURN_MILLIS), timer).then();
        }
        calls.incrementAndGet();
        DocumentReplica<?> replica = replication.replica(topic);
        long since = replica.version();
        long beyond = beyond(replica);
        long asked = timer.now(TimeUnit.MILLISECONDS);
        return platform.changes(topic, since, beyond, wait)
                .map(delta -> isProgress(delta, since))
                .switchIfEmpty(Mono.fromSupplier(() -> waitedFor(asked)))
                .flatMap(sound -> {
                    if (sound) {
                        failuresInRow.set(0);
                        return Mono.<Void>empty();
                    }
                    // A stale platform answers at once with what cannot be adopted; without a pause this would be a
                    // storm of calls against its limit.
                    return pause();
                })
                .onErrorResume(error -> pause());
    }

    /**
     * Offers a delta and tells whether the platform had something newer than it was asked for.
     *
     * <p>A version that a peer has told meanwhile is no sign of a stale platform. To pause for it made the watchers
     * miss the next change: with eight watchers most hear of each change from a peer first, and paused up to ten
     * seconds.
     */
    private boolean isProgress(DocumentDelta delta, long since) {
        ApplyResult applied = replication.offer(topic, delta);
        return applied == ApplyResult.ADOPTED || applied == ApplyResult.STALE && delta.to() > since;
    }

    /** Returns the version after which the platform answers; a rejected version is not to be sent at once again. */
    private static long beyond(DocumentReplica<?> replica) {
        DocumentReplica.Rejection rejection = replica.rejection();
        return rejection == null ? replica.version() : Math.max(replica.version(), rejection.version());
    }

    /** Tells whether the platform waited before it said that nothing is new; else it would be asked in a storm. */
    private boolean waitedFor(long askedMillis) {
        return timer.now(TimeUnit.MILLISECONDS) - askedMillis >= wait.toMillis() / 2;
    }

    /** Pauses longer after each failure in a row, spread so that watchers do not call together. */
    private Mono<Void> pause() {
        long doublings = Math.min(failuresInRow.getAndIncrement(), 10);
        long most = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings);
        long pause = most / 2 + Math.round(random.getAsDouble() * most / 2);
        return Mono.delay(Duration.ofMillis(pause), timer).then();
    }

    /** Returns how many calls were made. */
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
