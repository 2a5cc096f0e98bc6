package org.apricotstack.core.upstream;

/** What an answer or another router's news changes of what is known of the drain of an upstream. */
public enum DrainChange {
    /** Nothing. */
    NONE,
    /** The upstream leaves, which was not known. */
    BEGAN,
    /** The upstream takes requests again. */
    ENDED
}
