package org.apricotstack.core.stream;

import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.routing.GroupLoad;

/**
 * One event of an attempt.
 *
 * @param attempt the attempt id that the sender states
 * @param load the load of the group, or {@code null}
 * @param signal what happened
 */
public record AttemptEvent(AttemptId attempt, GroupLoad load, AttemptSignal signal) {

    /**
     * Creates an event without a load.
     *
     * @param attempt the attempt
     * @param signal what happened
     */
    public AttemptEvent(AttemptId attempt, AttemptSignal signal) {
        this(attempt, null, signal);
    }

    /**
     * Creates the last event of an attempt that failed.
     *
     * @param attempt the attempt
     * @param refusal why
     * @param upstream the upstream that failed, or {@code null}
     * @return the event
     */
    public static AttemptEvent refused(AttemptId attempt, Refusal refusal, UpstreamId upstream) {
        return new AttemptEvent(attempt, new AttemptSignal.Refused(refusal, upstream));
    }

    /**
     * Returns the same event with a load.
     *
     * @param newLoad the load of the group
     * @return the event
     */
    public AttemptEvent withLoad(GroupLoad newLoad) {
        return new AttemptEvent(attempt, newLoad, signal);
    }

    /**
     * Tells whether this is the last event of the attempt.
     *
     * @return whether the attempt has ended
     */
    public boolean isLast() {
        return signal instanceof AttemptSignal.Completed || signal instanceof AttemptSignal.Refused;
    }
}
