package org.apricotstack.serving.gossip;

import org.apricotstack.wire.news.NewsFrame;

/** A stream of state updates to one other router, which opens and closes as needed. */
interface GossipStream extends AutoCloseable {

    /**
     * Sends a heartbeat, and opens the stream first if there is none; the next heartbeat follows after the given time.
     */
    void heartbeat(EncodedFrame frame, long nextMillis);

    /**
     * Sends an update and returns whether the stream was writable; a lost update is not queued, as it would be
     * outdated later.
     */
    boolean send(EncodedFrame frame);

    /** Records that an update was not sent to this peer, so that it needs the full state before the next one. */
    void markOutOfSync();

    /** Returns whether updates can be sent. */
    boolean isOpen();

    /** Requests documents; opens the stream first if there is none, or if the peer has been silent for too long. */
    boolean fetch(EncodedFrame heartbeat, NewsFrame request);

    /** Returns whether a part of a reply has arrived, and the rest is on its way. */
    boolean isReceiving();

    @Override
    void close();
}
