package org.apricotstack.core.dispatch;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.time.Deadline;

/**
 * An attempt in the queue of a group.
 *
 * @param command the attempt
 * @param lengthClass the length class of its prompt
 * @param priority priority of its service, 0 for the most urgent
 * @param arrivedNanos when it arrived, in the local clock
 */
public record QueuedAttempt(DispatchCommand command, LengthClass lengthClass, int priority, long arrivedNanos) {

    /**
     * Returns how long it has waited.
     *
     * @param nowNanos the local clock
     * @return the time in milliseconds
     */
    public double waitedMillis(long nowNanos) {
        return (double) (nowNanos - arrivedNanos) / Deadline.NANOS_PER_MILLI;
    }

    /**
     * Returns the memory that it needs when its answer is complete.
     *
     * @return prompt and answer, in tokens
     */
    public long memoryTokens() {
        return command.work().promptTokens() + command.work().outputTokens();
    }
}
