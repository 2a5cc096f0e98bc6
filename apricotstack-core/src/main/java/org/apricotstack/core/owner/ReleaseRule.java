package org.apricotstack.core.owner;

import org.apricotstack.core.membership.MembershipTable;

/**
 * Decides which memory of an engine is orphaned and can be released.
 *
 * <p>A stream of another owner is not released merely because this process does not know it: during a network partition
 * the other owner may still be serving it. It is released when its time limit has passed by the engine's clock, or when
 * a later process has started on its owner's host, because the process that could have forwarded the answer is then
 * certainly dead.
 */
public final class ReleaseRule {

    /** Time past the limit before memory is released, in milliseconds. */
    public static final long GRACE_MILLIS = 1_000;

    private ReleaseRule() {}

    /**
     * Decides about one stream.
     *
     * @param held the memory that the engine holds
     * @param members the membership table
     * @return whether to release it
     */
    public static boolean mayRelease(HeldStream held, MembershipTable members) {
        if (held.ageMillis() > held.timeLimitMillis() + GRACE_MILLIS) {
            return true;
        }
        return held.owner() != null
                && members.incarnation(held.owner().host()) > held.owner().incarnation();
    }
}
