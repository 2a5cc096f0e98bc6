package org.apricotstack.core.upstream;

/** How an answer changed what a router knows of the speed of an upstream. */
public enum SpeedChange {
    /** The upstream is as slow, or as fast, as it was known to be. */
    NONE,
    /** The upstream is newly known to be slow. */
    SLOW,
    /** The upstream is no longer slow. */
    RECOVERED
}
