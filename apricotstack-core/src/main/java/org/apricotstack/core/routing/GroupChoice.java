package org.apricotstack.core.routing;

import org.apricotstack.core.configuration.Group;

/**
 * A chosen group.
 *
 * @param group the group
 * @param reason why it was chosen
 */
public record GroupChoice(Group group, Reason reason) {

    /** Why a group was chosen; each reason has its own counter. */
    public enum Reason {
        /** It is the only candidate. */
        ONLY_ONE,
        /** Its engines probably have the prefix in their KV cache, and its load is low enough. */
        PREFIX,
        /** It has the least expected delay of the compared groups. */
        LEAST_DELAY,
        /** It was next in the rotation. */
        TURN
    }
}
