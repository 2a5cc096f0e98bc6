package org.apricotstack.core.route;

/** Says how the answer to a request looks and whether the request may be run again. */
public enum RequestKind {
    /** One answer; the request may run more than once. */
    SAFE,
    /** One answer; the request may run at most once. */
    UNSAFE,
    /** A series of events; the request may run again only if its route allows that it is resumed. */
    STREAMING
}
