package org.apricotstack.core.suspect;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;

/**
 * The decision about a request that may crash the upstream that runs it.
 *
 * @param action the action to take now
 * @param holdMillis time after which to decide again, in milliseconds, if the request has to wait
 * @param avoided upstreams at which other suspected requests run; a crash at any other upstream distinguishes the
 *     requests
 */
public record SuspectDecision(Action action, long holdMillis, Set<UpstreamId> avoided) {

    /** For a request that is not suspected. */
    public static final SuspectDecision SEND = new SuspectDecision(Action.SEND, 0, Set.of());

    /** For a request that was identified as the cause of crashes. */
    public static final SuspectDecision REFUSE = new SuspectDecision(Action.REFUSE, 0, Set.of());

    /** Actions, the strictest last. */
    public enum Action {
        /** Send it like any other request. */
        SEND,
        /** Send it as a trial and notify the other routers, so that none sends the same request meanwhile. */
        TRY,
        /** Wait until the trial of the same request at another router ends. */
        HOLD,
        /** Wait briefly for reports of other routers about the last crash, however long the request has waited. */
        SETTLE,
        /** Reject it without sending it to any upstream. */
        REFUSE
    }

    /** Creates a decision with a copy of the set. */
    public SuspectDecision {
        avoided = Set.copyOf(avoided);
    }

    /** Creates the decision to wait for a trial at another router. */
    static SuspectDecision hold(long millis) {
        return new SuspectDecision(Action.HOLD, millis, Set.of());
    }

    /** Creates the decision to wait for reports of other routers. */
    static SuspectDecision settle(long millis) {
        return new SuspectDecision(Action.SETTLE, millis, Set.of());
    }

    /** Creates the decision to send the request as a trial. */
    static SuspectDecision attempt(Set<UpstreamId> avoided) {
        return new SuspectDecision(Action.TRY, 0, avoided);
    }

    /**
     * Combines the decisions about two traits of a request.
     *
     * @param other the other decision
     * @return the stricter one; a trial for both traits avoids the upstreams of both
     */
    public SuspectDecision stricter(SuspectDecision other) {
        if (action != other.action) {
            return action.compareTo(other.action) > 0 ? this : other;
        }
        Set<UpstreamId> both = new HashSet<>(avoided);
        both.addAll(other.avoided);
        return new SuspectDecision(action, Math.max(holdMillis, other.holdMillis), both);
    }

    /**
     * Tells whether the request may be sent now.
     *
     * @return whether it may
     */
    public boolean sends() {
        return action == Action.SEND || action == Action.TRY;
    }
}
