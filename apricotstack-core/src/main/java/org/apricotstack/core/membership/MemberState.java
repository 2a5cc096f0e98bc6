package org.apricotstack.core.membership;

/** What is believed of a member, from the weakest statement to the strongest within one incarnation. */
public enum MemberState {
    /** It answers, or nothing else was heard. */
    ALIVE,
    /** It did not answer; it is still used, but less gladly. */
    SUSPECT,
    /** It announced that it stops; it gets no new work. */
    LEAVING,
    /** It did not answer for the time of suspicion, or it announced its end. */
    DEAD
}
