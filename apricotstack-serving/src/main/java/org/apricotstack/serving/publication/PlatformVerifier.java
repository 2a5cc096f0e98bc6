package org.apricotstack.serving.publication;

import org.apricotstack.core.peer.PlatformCheckers;
import org.apricotstack.core.peer.PlatformFreshness;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.http.OutcomeSubscriber;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublicationSource.Check;
import reactor.core.publisher.Mono;

/**
 * Checks whether the platform has published anything unknown, when nobody has done so for a while.
 *
 * <p>A watch that the platform no longer answers looks like one without changes until its timeout, and the readers of
 * all data centres may have such a watch at the same time. A check is a short call, made by another router if it fails.
 */
final class PlatformVerifier {

    /** Longest time between two checks that fail, in milliseconds. */
    private static final long MAX_BACK_OFF_MILLIS = 4_000;

    /**
     * Time after a check for the watch to report the change that the check found, in milliseconds; longer than the
     * delay between two watches and a slow response together.
     */
    private static final long WATCH_GRACE_MILLIS = 300;

    /** Age of the knowledge below which its verification is not announced, in milliseconds. */
    private static final long MIN_ANNOUNCED_AGE_MILLIS = PlatformCheckers.CHECK_AGE_MILLIS / 2;

    private final ServingLoop loop;
    private final PublicationSource source;
    private final PublishedState state;
    private final PublicationFollower follower;
    private final DecisionLog log;
    private ReaderDuty duty;
    private long notBeforeMillis;
    private long backOffMillis = PlatformCheckers.CHECK_AGE_MILLIS;
    private boolean checking;
    private long checks;
    private long failedChecks;
    private long missedChanges;

    /** Creates a verifier that has not started. */
    PlatformVerifier(
            ServingLoop loop,
            PublicationSource source,
            PublishedState state,
            PublicationFollower follower,
            DecisionLog log) {
        this.loop = loop;
        this.source = source;
        this.state = state;
        this.follower = follower;
        this.log = log;
    }

    /** Starts checking. */
    void start(ReaderDuty readerDuty) {
        duty = readerDuty;
        loop.schedule(PlatformCheckers.CHECK_AGE_MILLIS, this::checkIfDue);
    }

    /** Checks if that is due, and sets the timer for the next check, also after a failure. */
    private void checkIfDue() {
        long delayMillis = PlatformCheckers.CHECK_AGE_MILLIS;
        try {
            delayMillis = checkAndDelayMillis();
        } finally {
            loop.schedule(delayMillis, this::checkIfDue);
        }
    }

    /** Checks if that is due, and returns the delay before the next check, in milliseconds. */
    private long checkAndDelayMillis() {
        long now = loop.nowMillis();
        long ageMillis = duty.checkAgeMillis();
        PlatformFreshness freshness = state.freshness();
        long dueMillis = ageMillis == Long.MAX_VALUE || !freshness.isKnown()
                ? now + PlatformCheckers.CHECK_AGE_MILLIS
                : Math.max(freshness.verifiedMillis() + ageMillis, notBeforeMillis);
        if (dueMillis <= now) {
            check();
            dueMillis = now + PlatformCheckers.CHECK_AGE_MILLIS;
        }
        return dueMillis - now;
    }

    /** Checks now, unless a check is under way. */
    void check() {
        if (checking) {
            return;
        }
        checking = true;
        checks++;
        long sentMillis = loop.nowMillis();
        OutcomeSubscriber.subscribe(
                loop, Mono.defer(source::check), check -> onCheck(check, sentMillis), error -> onFailure());
    }

    /** Applies the result of a check. */
    private void onCheck(Check check, long sentMillis) {
        checking = false;
        backOffMillis = PlatformCheckers.CHECK_AGE_MILLIS;
        // Asked first, as the configuration alone does not show that older changes of upstreams are known.
        boolean known = follower.knows(check.revision());
        check.configuration().ifPresent(document -> state.apply(document, "platform_check"));
        if (known) {
            verified(sentMillis);
        } else if (follower.isFollowing()) {
            loop.schedule(WATCH_GRACE_MILLIS, () -> readIfStillUnknown(check.revision()));
        } else {
            readMissedChanges(check.revision());
        }
    }

    /** Reads everything if a change is still unknown that a check has found. */
    private void readIfStillUnknown(long revision) {
        if (!follower.knows(revision)) {
            readMissedChanges(revision);
        }
    }

    /** Reads everything, as a check has found a change that is unknown here. */
    private void readMissedChanges(long revision) {
        missedChanges++;
        log.line("platform_check_found")
                .put("revision", Revisions.text(revision))
                .put("configuration", state.configurationVersion())
                .put("following", follower.isFollowing())
                .put("platform_age_millis", state.freshness().ageMillis(loop.nowMillis()))
                .write();
        follower.readNow();
    }

    /** Delays the next check after a failure. */
    private void onFailure() {
        checking = false;
        failedChecks++;
        notBeforeMillis = loop.nowMillis() + backOffMillis;
        backOffMillis = Math.min(MAX_BACK_OFF_MILLIS, 2 * backOffMillis);
        log.line("platform_check_failed")
                .put("platform_age_millis", state.freshness().ageMillis(loop.nowMillis()))
                .write();
    }

    /** Records that everything published before a time is known, and announces it unless that is known already. */
    void verified(long atMillis) {
        PlatformFreshness freshness = state.freshness();
        boolean announce = freshness.ageMillis(loop.nowMillis()) >= MIN_ANNOUNCED_AGE_MILLIS;
        freshness.verified(atMillis);
        if (announce) {
            duty.announceVerified();
        }
    }

    /** Returns the number of checks. */
    long checks() {
        return checks;
    }

    /** Returns the number of checks that failed. */
    long failedChecks() {
        return failedChecks;
    }

    /** Returns how often a check found a change that no watch had reported. */
    long missedChanges() {
        return missedChanges;
    }
}
