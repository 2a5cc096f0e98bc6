package org.apricotstack.core.routing;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.id.GroupId;

/**
 * The load of a group as reported by its owner, piggybacked on replies.
 *
 * @param group the group
 * @param shortDelayMillis predicted time to first token of a short prompt that arrives now, in milliseconds
 * @param longDelayMillis predicted time to first token of a long prompt that arrives now, in milliseconds
 * @param liveUpstreams number of upstreams that accept work
 */
public record GroupLoad(GroupId group, long shortDelayMillis, long longDelayMillis, int liveUpstreams) {

    /**
     * Returns the predicted time to first token of a class.
     *
     * @param lengthClass the class
     * @return the time in milliseconds
     */
    public long delayMillis(LengthClass lengthClass) {
        return lengthClass == LengthClass.SHORT ? shortDelayMillis : longDelayMillis;
    }
}
