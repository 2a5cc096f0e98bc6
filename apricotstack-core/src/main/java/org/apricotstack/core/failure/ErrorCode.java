package org.apricotstack.core.failure;

/** Kinds of errors that are not answers to requests: mistakes of operators, of peers or of this program. */
public enum ErrorCode {
    /** A name has a form that is not allowed. */
    INVALID_NAME,
    /** The settings of a process cannot be used. */
    INVALID_SETTINGS,
    /** A published configuration cannot be used. */
    INVALID_CONFIGURATION,
    /** A line of a trace cannot be used. */
    INVALID_TRACE,
    /** The platform did not answer as its protocol says. */
    PLATFORM_PROTOCOL,
    /** A peer did not answer as the protocol between routers says. */
    PEER_PROTOCOL,
    /** An address is in use, a file cannot be read, or another fault of the machine. */
    ENVIRONMENT
}
