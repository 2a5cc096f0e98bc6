package org.apricotstack.serving.publication;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublicationSource.Changes;
import org.apricotstack.serving.publication.PublicationSource.Snapshot;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Reads everything once, then waits for changes, and begins again after each fault.
 *
 * <p>Calls are priced and their rate is shared by all routers, so there is never more than one call at a time, and
 * after a fault the pause before the next one grows and differs between routers.
 */
public final class PublicationFollower {

    /** Least time that one wait lasts without a change, in milliseconds. */
    private static final long LEAST_WAIT_MILLIS = 2_500;

    /**
     * Added at random, in milliseconds: this for each known router, up to the most. Waits end at different times, so
     * that
     * soon after all connections have gone silent some router asks anew and the others hear of changes from it.
     */
    private static final long WAIT_MILLIS_EACH = 500;

    private static final long MOST_ADDED_MILLIS = 12_000;

    /**
     * Time that the first wait after a change lasts at most, in milliseconds. If the platform comes back from an older
     * copy in the pause before that wait, it may hold a revision of the same number that was given out again, and
     * nothing tells so before the wait ends.
     */
    private static final long AFTER_CHANGE_MILLIS = 1_200;

    /** Pause before the next wait after a change, in milliseconds, so that changes in a row cost one call. */
    private static final long GATHER_MILLIS = 120;

    /** First pause after a fault, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 60;

    /** Longest pause after a fault, in milliseconds: what the return of the platform may go unnoticed. */
    private static final long MOST_PAUSE_MILLIS = 700;

    /** Time without an answer that counts as an outage, in milliseconds: more than one lost connection costs. */
    private static final long OUTAGE_MILLIS = 800;

    /** Time between two calls that are given up because peers know more, in milliseconds. */
    private static final long RESTART_MILLIS = 2_000;

    private final ServingLoop loop;
    private final PublicationSource source;
    private final PublishedState state;
    private final DecisionLog log;
    private final UniformRandomProvider random;
    private final IntSupplier routers;
    private final BooleanSupplier mustRead;
    private final Disposable.Swap call = Disposables.swap();
    private long known;
    private boolean readAll = true;
    private boolean afterChange;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long lastAnswerMillis;
    private boolean away;
    private boolean idle;
    private long restartedMillis = Long.MIN_VALUE / 2;
    private long round;
    private long histories;
    private long calls;
    private long faults;

    /**
     * Creates a follower.
     *
     * @param loop the thread
     * @param source the platform
     * @param state takes what is read
     * @param log takes losses and returns of the platform
     * @param random spreads the calls of many routers
     * @param routers how many routers follow at the same time
     * @param mustRead whether this router has to follow the platform, and does not hear of changes from another one
     */
    public PublicationFollower(
            ServingLoop loop,
            PublicationSource source,
            PublishedState state,
            DecisionLog log,
            UniformRandomProvider random,
            IntSupplier routers,
            BooleanSupplier mustRead) {
        this.loop = loop;
        this.source = source;
        this.state = state;
        this.log = log;
        this.random = random;
        this.routers = routers;
        this.mustRead = mustRead;
        this.lastAnswerMillis = loop.nowMillis();
    }

    /** Begins to follow. */
    public void start() {
        next();
    }

    /** Makes the next call, or none while another router tells what the platform says. */
    private void next() {
        long mine = ++round;
        idle = known > 0 && !mustRead.getAsBoolean();
        if (idle) {
            return;
        }
        calls++;
        call.update(
                readAll
                        ? source.readAll().subscribe(all -> tookAll(mine, all), error -> failed(mine, error))
                        : source.awaitChanges(known, waitMillis())
                                .subscribe(changes -> tookChanges(mine, changes), error -> failed(mine, error)));
    }

    /** Returns for how long to wait for a change. */
    private long waitMillis() {
        if (afterChange) {
            afterChange = false;
            return AFTER_CHANGE_MILLIS / 4 + random.nextLong(AFTER_CHANGE_MILLIS * 3 / 4);
        }
        long added = Math.min(MOST_ADDED_MILLIS, WAIT_MILLIS_EACH * routers.getAsInt());
        return LEAST_WAIT_MILLIS + random.nextLong(Math.max(1, added));
    }

    /** Takes everything in. */
    private void tookAll(long mine, Snapshot all) {
        if (mine != round) {
            return;
        }
        answered();
        noteHistory(all.revision());
        readAll = false;
        known = all.revision();
        long now = loop.nowMillis();
        List<Publication> listed = all.documents().stream()
                .filter(document -> !document.isConfiguration())
                .toList();
        all.documents().stream()
                .filter(Publication::isConfiguration)
                .forEach(document -> state.take(document, "platform"));
        state.takeAllUpstreams(listed, all.revision(), "platform", now);
        next();
    }

    /** Takes changes in. */
    private void tookChanges(long mine, Changes changes) {
        if (mine != round) {
            return;
        }
        answered();
        long told =
                changes.documents().stream().mapToLong(Publication::revision).reduce(known, Math::max);
        if (changes.historyGone()) {
            log.line("platform_history_gone")
                    .put("known", Revisions.text(known))
                    .write();
            readAll = true;
        } else {
            changes.documents().forEach(document -> state.take(document, "platform"));
            if (changes.revision() > told) {
                // The platform counts a change that it did not tell, as a wait can be deaf for a while. Going on from
                // its revision would lose that change for good.
                log.line("platform_change_missed")
                        .put("told", Revisions.text(told))
                        .put("revision", Revisions.text(changes.revision()))
                        .write();
                readAll = true;
            }
            known = told;
        }
        afterChange = !changes.documents().isEmpty();
        if (!afterChange || readAll) {
            next();
        } else {
            nextAfter(mine, GATHER_MILLIS);
        }
    }

    /** Writes down that the platform began another history; what it lists may be some seconds old. */
    private void noteHistory(long revision) {
        if (revision < known) {
            log.line("platform_revision_fell")
                    .put("revision_before", Revisions.text(known))
                    .put("revision", Revisions.text(revision))
                    .write();
        }
        if (known > 0 && Revisions.history(revision) != Revisions.history(known)) {
            histories++;
            log.line("platform_history_changed")
                    .put("from", Revisions.history(known))
                    .put("to", Revisions.history(revision))
                    .put("revision_before", Revisions.inHistory(known))
                    .put("revision", Revisions.inHistory(revision))
                    .put("configuration", state.configurationVersion())
                    .write();
        }
    }

    /** Notes an answer of the platform. */
    private void answered() {
        long now = loop.nowMillis();
        if (away) {
            away = false;
            if (now - lastAnswerMillis > OUTAGE_MILLIS) {
                state.platformReturned(now);
            }
            log.line("platform_regained")
                    .put("away_millis", now - lastAnswerMillis)
                    .write();
        }
        lastAnswerMillis = now;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Takes a fault: tries again after a pause. */
    private void failed(long mine, Throwable error) {
        if (mine != round) {
            return;
        }
        faults++;
        // A wait that follows a fault can be deaf for seconds; what a list says is true when it is read.
        readAll = true;
        if (!away) {
            away = true;
            log.line("platform_lost").put("problem", error.getMessage()).write();
        }
        long pause = pauseMillis / 2 + random.nextLong(pauseMillis);
        pauseMillis = Math.min(MOST_PAUSE_MILLIS, 2 * pauseMillis);
        nextAfter(mine, pause);
    }

    /** Makes the next call after a pause, unless another one is made before. */
    private void nextAfter(long mine, long pause) {
        loop.schedule(pause, () -> {
            if (mine == round) {
                next();
            }
        });
    }

    /** Looks whether this router has to follow the platform again; called some times a second. */
    public void look() {
        if (idle && mustRead.getAsBoolean()) {
            // It was not the platform that was silent meanwhile.
            lastAnswerMillis = loop.nowMillis();
            next();
        }
    }

    /**
     * Tells whether this router follows the platform and is answered.
     *
     * @return whether others may rely on it
     */
    public boolean reads() {
        return !idle && !away && !readAll;
    }

    /** Gives a call up that seems dead, as peers know of changes that it should have told, and makes another. */
    public void restartIfSilent() {
        long now = loop.nowMillis();
        if (!idle && !away && now - restartedMillis > RESTART_MILLIS) {
            restartedMillis = now;
            log.line("platform_wait_restarted")
                    .put("known", Revisions.text(known))
                    .write();
            next();
        }
    }

    /** Reads everything again, as time passed unnoticed. */
    public void readAgain() {
        readAll = true;
        next();
    }

    /**
     * Tells whether the platform does not answer.
     *
     * @return whether the last call failed
     */
    public boolean away() {
        return away;
    }

    /**
     * Returns how many calls were made.
     *
     * @return calls since the start
     */
    public long calls() {
        return calls;
    }

    /**
     * Returns how often the platform began another history.
     *
     * @return changes of history since the start
     */
    public long histories() {
        return histories;
    }

    /**
     * Returns which history of the platform was read last.
     *
     * @return its number; 0 if the platform does not say
     */
    public long history() {
        return Revisions.history(known);
    }

    /**
     * Returns how many calls failed.
     *
     * @return calls since the start
     */
    public long faults() {
        return faults;
    }
}
