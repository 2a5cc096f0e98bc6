package org.apricotstack.core.dispatch;

import java.util.Set;

import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.time.Deadline;

/**
 * One attempt, as the entry router submits it to the owner of a group.
 *
 * @param attempt the attempt
 * @param group the group
 * @param work the work to run
 * @param deadline time by which it must have ended, in the clock of the process that holds this value
 * @param resumeOffset units of the answer that the entry router already has
 * @param excluded upstreams that failed this request before
 */
public record DispatchCommand(
        AttemptId attempt, GroupId group, Work work, Deadline deadline, long resumeOffset, Set<UpstreamId> excluded) {}
