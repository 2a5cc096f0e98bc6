package org.apricotstack.core.membership;

import org.apricotstack.core.id.HostId;

/**
 * A gossip record about one member.
 *
 * @param host the member
 * @param incarnation the incarnation of the process that the record is about
 * @param refutation number of suspicions that this process has refuted
 * @param state the state
 */
public record MemberRecord(HostId host, long incarnation, int refutation, MemberState state) {

    /**
     * Tells whether this record replaces another record about the same host.
     *
     * @param other the other record
     * @return whether it is about a later incarnation, or about the same one with a later refutation or a stronger
     *     state
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
