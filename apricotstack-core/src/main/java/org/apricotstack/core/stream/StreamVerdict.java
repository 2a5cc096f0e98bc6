package org.apricotstack.core.stream;

/** What to do with an event; each verdict except {@link #PASS} has its own counter. */
public enum StreamVerdict {
    /** Forward it. */
    PASS,
    /** It repeats what was already forwarded, as after a resume; drop it. */
    REPEATED,
    /** It belongs to an earlier attempt of the same request; drop it. */
    LATE,
    /** It belongs to another request; the attempt must fail. */
    CROSSED,
    /** Something before it is missing, or the count at the end is wrong; the attempt must fail. */
    CUT
}
