package org.apricotstack.serving.http;

/** Bounds what is skipped before the response to a request, as an upstream may send heads and bodies without end. */
final class SkippedResponses {

    /** Maximum number of heads before the one of the response: informational ones and those of late responses. */
    private static final int MAX_HEADS = 32;

    /** Maximum size of the bodies of late responses that are skipped for one request, in bytes. */
    private static final long MAX_BYTES = 4 * 1024 * 1024;

    private int heads;
    private long bytes;

    /** Begins with the next request. */
    void reset() {
        heads = 0;
        bytes = 0;
    }

    /** Counts a head; returns whether that is too many. */
    boolean skipHead() {
        heads++;
        return heads > MAX_HEADS;
    }

    /** Counts a part of a body; returns whether that is too much. */
    boolean skipBytes(int count) {
        bytes += count;
        return bytes > MAX_BYTES;
    }
}
