package org.apricotstack.core.stream;

/** What is to be done with an event; each verdict but {@link #PASS} has its own counter. */
public enum StreamVerdict {
    /** Pass it on. */
    PASS,
    /** It repeats what was passed on already, as after a resume; drop it. */
    REPEATED,
    /** It belongs to an earlier attempt of the same request; drop it. */
    LATE,
    /** It belongs to another request; the attempt must fail. */
    CROSSED,
    /** Something before it is missing, or the count at the end is wrong; the attempt must fail. */
    CUT
}
