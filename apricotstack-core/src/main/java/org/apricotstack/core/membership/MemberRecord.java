package org.apricotstack.core.membership;

import org.apricotstack.core.id.HostId;

/**
 * A statement about one member, as it travels between routers.
 *
 * @param host the member
 * @param incarnation the process that the statement is about
 * @param refutation how often that process has contradicted a suspicion
 * @param state what is stated
 */
public record MemberRecord(HostId host, long incarnation, int refutation, MemberState state) {

    /**
     * Tells whether this statement replaces another one about the same host.
     *
     * @param other the other statement
     * @return whether it is about a later process, or a later or stronger statement about the same one
     */
    public boolean supersedes(MemberRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return state.compareTo(other.state) > 0;
    }
}
