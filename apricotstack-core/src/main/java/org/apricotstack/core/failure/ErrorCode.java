package org.apricotstack.core.failure;

/** Kinds of errors that are not answers to requests: errors of operators, of peers or of this program. */
public enum ErrorCode {
    /** A name is malformed. */
    INVALID_NAME,
    /** The settings of a process are invalid. */
    INVALID_SETTINGS,
    /** A published configuration is invalid. */
    INVALID_CONFIGURATION,
    /** A line of a trace is invalid. */
    INVALID_TRACE,
    /** The platform violated its protocol. */
    PLATFORM_PROTOCOL,
    /** A peer violated the protocol between routers. */
    PEER_PROTOCOL,
    /** An upstream's response violates the protocol. */
    UPSTREAM_PROTOCOL,
    /** An address is in use, a file cannot be read, or another problem of the host. */
    ENVIRONMENT
}
