package org.apricotstack.core.route;

/** The form of the answer to a request, and whether the request may be retried. */
public enum RequestKind {
    /** A single answer; the request may run more than once. */
    SAFE,
    /** A single answer; the request may run at most once. */
    UNSAFE,
    /** A stream of events; the request may run again only if its route allows resuming. */
    STREAMING
}
