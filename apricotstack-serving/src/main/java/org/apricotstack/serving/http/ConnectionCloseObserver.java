package org.apricotstack.serving.http;

/** Records which connections of callers the router closes; called on the event loop. */
@FunctionalInterface
public interface ConnectionCloseObserver {

    /** Records nothing. */
    ConnectionCloseObserver NONE = close -> {};

    /**
     * Records the close of a connection.
     *
     * @param close what is known of it
     */
    void closed(ConnectionClose close);
}
