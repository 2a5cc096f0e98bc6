package org.apricotstack.core.membership;

/** Believed state of a member; within one incarnation and refutation, a later constant overrides an earlier one. */
public enum MemberState {
    /** It answers, or nothing else was reported. */
    ALIVE,
    /** It did not answer; it is still used, but routers that answer are preferred. */
    SUSPECT,
    /** It announced that it stops; it is sent no new work. */
    LEAVING,
    /** It was suspected for the whole suspicion time-out, or it announced its end. */
    DEAD
}
