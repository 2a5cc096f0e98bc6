package org.apricotstack.serving.http;

/** Receives responses of upstreams that are not forwarded as they are; called on the event loop. */
@FunctionalInterface
public interface UpstreamResponseObserver {

    /**
     * Called with the head of a response that is not known to belong to a request.
     *
     * @param response the response and what became of it
     */
    void unmatched(UnmatchedResponse response);

    /**
     * Called for a response whose head violates HTTP.
     *
     * @param response the response
     */
    default void malformed(MalformedResponse response) {}
}
