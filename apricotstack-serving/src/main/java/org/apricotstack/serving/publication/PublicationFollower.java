package org.apricotstack.serving.publication;

import java.util.List;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.http.OutcomeSubscriber;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublicationSource.Changes;
import org.apricotstack.serving.publication.PublicationSource.Snapshot;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Follows the platform: reads a full snapshot, then watches for changes, and starts over after each failure.
 *
 * <p>Calls are charged and their rate is shared by all routers. So there is at most one call at a time, and after a
 * failure the next one is delayed by an exponential back-off with jitter.
 */
public final class PublicationFollower {

    /** Shortest watch without a change, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 2_500;

    /**
     * Upper bound of the random extension of a watch for each following router, in milliseconds. Watches of different
     * routers end at different times, so that soon after all connections have gone silent some router calls again and
     * the others learn of changes from it.
     */
    private static final long ADDED_WAIT_MILLIS_PER_ROUTER = 500;

    private static final long MAX_ADDED_WAIT_MILLIS = 12_000;

    /**
     * Longest first watch after a change, in milliseconds. If the platform is restored from an older backup during the
     * delay before that watch, it can issue the same revision number again, which goes unnoticed until the watch ends.
     */
    private static final long MAX_WAIT_AFTER_CHANGE_MILLIS = 1_200;

    /** Delay before the next watch after a change, in milliseconds, so that a burst of changes costs one call. */
    private static final long COALESCE_MILLIS = 120;

    /**
     * Time without a response after which a failure counts as an outage, in milliseconds; longer than the effect of a
     * single lost connection.
     */
    private static final long OUTAGE_MILLIS = 800;

    /** Shortest time between two calls that are aborted because peers know more, in milliseconds. */
    private static final long MIN_RESTART_INTERVAL_MILLIS = 2_000;

    private final ServingLoop loop;
    private final PublicationSource source;
    private final PublishedState state;
    private final DecisionLog log;
    private final UniformRandomProvider random;
    private final PlatformVerifier verifier;
    private final CallBackOff backOff;
    private final HistoryLog histories;
    private final Disposable.Swap call = Disposables.swap();
    private ReaderDuty duty;
    private long known;
    private boolean readAll = true;
    private boolean afterChange;
    private long lastAnswerMillis;
    private boolean unavailable;
    private boolean idle;
    private long restartedMillis = Long.MIN_VALUE / 2;
    private long currentCallId;
    private long callStartedMillis;
    private long calls;
    private long faults;
    private String lastProblem;

    /**
     * Creates a follower.
     *
     * @param loop the event loop
     * @param source the platform
     * @param state receives what is read
     * @param log receives losses and recoveries of the platform
     * @param random jitter for the calls
     */
    public PublicationFollower(
            ServingLoop loop,
            PublicationSource source,
            PublishedState state,
            DecisionLog log,
            UniformRandomProvider random) {
        this.loop = loop;
        this.source = source;
        this.state = state;
        this.log = log;
        this.random = random;
        this.backOff = new CallBackOff(random);
        this.histories = new HistoryLog(log);
        this.verifier = new PlatformVerifier(loop, source, state, this, log);
        this.lastAnswerMillis = loop.nowMillis();
    }

    /**
     * Starts following the platform.
     *
     * @param readerDuty what this router has to do at the platform
     */
    public void start(ReaderDuty readerDuty) {
        duty = readerDuty;
        startCall();
        verifier.start(readerDuty);
    }

    /** Starts the next call, or none while a peer reports the platform's changes to this router. */
    private void startCall() {
        startCall(false);
    }

    /** Starts the next call, or none while a peer reports the platform's changes and the call is not forced. */
    private void startCall(boolean forced) {
        long callId = ++currentCallId;
        try {
            idle = !forced && known > 0 && !duty.mustReadPlatform();
            if (!idle) {
                send(callId);
            }
        } catch (RuntimeException | Error e) {
            loop.taskFailed(e);
            onFailure(callId, e);
        }
    }

    /** Sends a call. */
    private void send(long callId) {
        calls++;
        callStartedMillis = loop.nowMillis();
        Consumer<Throwable> onFailure = error -> onFailure(callId, error);
        call.update(
                readAll
                        ? OutcomeSubscriber.subscribe(loop, source.readAll(), all -> onSnapshot(callId, all), onFailure)
                        : OutcomeSubscriber.subscribe(
                                loop,
                                source.awaitChanges(known, waitMillis()),
                                changes -> onChanges(callId, changes),
                                onFailure));
    }

    /** Returns the longest duration of the next watch, in milliseconds. */
    private long waitMillis() {
        if (afterChange) {
            afterChange = false;
            return MAX_WAIT_AFTER_CHANGE_MILLIS / 4 + random.nextLong(MAX_WAIT_AFTER_CHANGE_MILLIS * 3 / 4);
        }
        long added = Math.min(MAX_ADDED_WAIT_MILLIS, ADDED_WAIT_MILLIS_PER_ROUTER * duty.platformReaders());
        return MIN_WAIT_MILLIS + random.nextLong(Math.max(1, added));
    }

    /** Applies a full snapshot. */
    private void onSnapshot(long callId, Snapshot all) {
        if (callId != currentCallId) {
            return;
        }
        onAnswer();
        histories.read(all.revision(), known, state.configurationVersion());
        readAll = false;
        known = all.revision();
        long now = loop.nowMillis();
        List<Publication> listed = all.documents().stream()
                .filter(document -> !document.isConfiguration() && !document.isEvacuation())
                .toList();
        List<Publication> evacuations =
                all.documents().stream().filter(Publication::isEvacuation).toList();
        all.documents().stream()
                .filter(Publication::isConfiguration)
                .forEach(document -> state.apply(document, "platform"));
        state.evacuations().applySnapshot(evacuations, all.revision(), "platform", now);
        state.applyUpstreamSnapshot(listed, all.revision(), "platform", now);
        verifier.verified(callStartedMillis);
        backOff.reset();
        startCall();
    }

    /** Applies the result of a watch. */
    private void onChanges(long callId, Changes changes) {
        if (callId != currentCallId) {
            return;
        }
        onAnswer();
        long lastReported =
                changes.documents().stream().mapToLong(Publication::revision).reduce(known, Math::max);
        if (changes.resyncRequired()) {
            log.line("platform_history_gone")
                    .put("known", Revisions.text(known))
                    .write();
            readAll = true;
        } else {
            changes.documents().forEach(document -> state.apply(document, "platform"));
            if (changes.revision() > lastReported) {
                // The platform's revision covers a change that it did not report, as a watch can miss changes for a
                // while. Continuing from that revision would lose the change for good.
                log.line("platform_change_missed")
                        .put("told", Revisions.text(lastReported))
                        .put("revision", Revisions.text(changes.revision()))
                        .write();
                readAll = true;
            } else {
                verifier.verified(loop.nowMillis());
            }
            known = lastReported;
        }
        backOff.reset();
        afterChange = !changes.documents().isEmpty();
        if (!afterChange || readAll) {
            startCall();
        } else {
            startCallAfter(callId, COALESCE_MILLIS);
        }
    }

    /** Records a response of the platform and ends an outage. */
    private void onAnswer() {
        long now = loop.nowMillis();
        if (unavailable) {
            unavailable = false;
            if (now - lastAnswerMillis > OUTAGE_MILLIS) {
                state.platformReturned(now);
            }
            log.line("platform_regained")
                    .put("away_millis", now - lastAnswerMillis)
                    .write();
        }
        lastAnswerMillis = now;
    }

    /** Handles a failed call: tries again after a back-off. */
    private void onFailure(long callId, Throwable error) {
        if (callId != currentCallId) {
            return;
        }
        faults++;
        lastProblem = error.getMessage();
        // A watch after a failure can miss changes for seconds, whereas a snapshot is current when it is read.
        readAll = true;
        startCallAfter(callId, backOff.nextMillis());
        if (!unavailable) {
            unavailable = true;
            log.line("platform_lost").put("problem", error.getMessage()).write();
        }
    }

    /** Starts the next call after a delay, unless another one was started meanwhile. */
    private void startCallAfter(long callId, long delayMillis) {
        loop.schedule(delayMillis, () -> {
            if (callId == currentCallId) {
                startCall();
            }
        });
    }

    /** Starts following again if this router has to; called several times a second. */
    public void resumeIfNeeded() {
        if (idle && duty.mustReadPlatform()) {
            // This router made no calls meanwhile, so the time without a response is no outage.
            lastAnswerMillis = loop.nowMillis();
            startCall();
        }
    }

    /**
     * Returns whether this router follows the platform and gets responses.
     *
     * @return whether others may rely on it
     */
    public boolean isFollowing() {
        return !idle && !unavailable && !readAll;
    }

    /** Replaces a call that seems dead because peers know of changes that it should have reported. */
    public void restartIfSilent() {
        long now = loop.nowMillis();
        if (!idle && !unavailable && now - restartedMillis > MIN_RESTART_INTERVAL_MILLIS) {
            restartedMillis = now;
            log.line("platform_wait_restarted")
                    .put("known", Revisions.text(known))
                    .write();
            startCall();
        }
    }

    /** Looks for changes that were missed because this process was stalled. */
    public void resync() {
        if (idle) {
            verifier.check();
        } else {
            readNow();
        }
    }

    /** Reads a full snapshot, also if a peer reports the platform's changes to this router. */
    void readNow() {
        readAll = true;
        startCall(true);
    }

    /** Returns whether all changes up to a revision are known here, from the platform or from peers. */
    boolean knows(long revision) {
        long fromPeers = Math.max(state.configurationRevision(), state.upstreamsRevision());
        return revision <= (isFollowing() ? known : Math.max(known, fromPeers));
    }

    /**
     * Returns whether the platform is unavailable.
     *
     * @return whether the last call failed
     */
    public boolean unavailable() {
        return unavailable;
    }

    /**
     * Returns the number of calls.
     *
     * @return calls since the start
     */
    public long calls() {
        return calls;
    }

    /**
     * Returns how often the platform started another history.
     *
     * @return changes of history since the start
     */
    public long historyChanges() {
        return histories.changes();
    }

    /**
     * Returns which history of the platform was read last.
     *
     * @return the number of the history; 0 if the platform reports none
     */
    public long history() {
        return Revisions.history(known);
    }

    /**
     * Returns the number of checks for changes that no watch reported.
     *
     * @return checks since the start
     */
    public long checks() {
        return verifier.checks();
    }

    /**
     * Returns the number of checks that failed.
     *
     * @return checks since the start
     */
    public long failedChecks() {
        return verifier.failedChecks();
    }

    /**
     * Returns how often a check found a change that no watch had reported.
     *
     * @return changes since the start
     */
    public long missedChanges() {
        return verifier.missedChanges();
    }

    /**
     * Returns how old the knowledge of this router may be.
     *
     * @return time since which something unknown may have been published, in milliseconds; -1 if nothing is known
     */
    public long ageMillis() {
        return state.freshness().ageMillis(loop.nowMillis());
    }

    /**
     * Returns why the last failed call failed.
     *
     * @return the message; {@code null} if no call has failed
     */
    public String lastProblem() {
        return lastProblem;
    }

    /**
     * Returns the number of failed calls.
     *
     * @return calls since the start
     */
    public long faults() {
        return faults;
    }
}
