package org.apricotstack.serving.http;

/** Receives responses of upstreams that are not known to belong to a request; called on the event loop. */
@FunctionalInterface
public interface UnmatchedResponseObserver {

    /**
     * Called with the head of a response.
     *
     * @param response the response and what became of it
     */
    void unmatched(UnmatchedResponse response);
}
