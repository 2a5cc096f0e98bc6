package org.apricotstack.core.link;

/** How a new connection to an upstream is opened. */
public enum LinkRoute {
    /** From this router, and through another one if that fails or takes too long. */
    DIRECT,
    /** Through another router, and from this one if that fails. */
    RELAYED,
    /** Both at once; the first connection that is established is used, and the other shows whether the link is back. */
    BOTH
}
