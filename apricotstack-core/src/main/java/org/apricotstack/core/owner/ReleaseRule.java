package org.apricotstack.core.owner;

import org.apricotstack.core.membership.MembershipTable;

/**
 * Decides which memory of an engine nobody needs any more.
 *
 * <p>A stream of another owner is not released merely because this process does not know it: during a split the other
 * owner may still be serving it. It is released when its own time limit is over by the engine's clock, or when a
 * later process has started on its owner's host, as the process that could have passed the answer on is then gone
 * for certain.
 */
public final class ReleaseRule {

    /** Time past the limit before memory is released, in milliseconds. */
    public static final long GRACE_MILLIS = 1_000;

    private ReleaseRule() {}

    /**
     * Judges one stream.
     *
     * @param held what the engine holds
     * @param members what is known of the routers
     * @return whether it is to be released
     */
    public static boolean mayRelease(HeldStream held, MembershipTable members) {
        if (held.ageMillis() > held.timeLimitMillis() + GRACE_MILLIS) {
            return true;
        }
        return held.owner() != null
                && members.incarnation(held.owner().host()) > held.owner().incarnation();
    }
}
