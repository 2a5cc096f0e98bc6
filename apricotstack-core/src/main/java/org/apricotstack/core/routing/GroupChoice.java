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
        /** It is the only one. */
        ONLY_ONE,
        /** It probably holds the prefix, and its load allows it. */
        PREFIX,
        /** It has the least expected delay of those compared. */
        LEAST_DELAY,
        /** It was its turn. */
        TURN
    }
}
