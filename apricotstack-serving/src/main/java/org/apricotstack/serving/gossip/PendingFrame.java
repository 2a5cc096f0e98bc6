package org.apricotstack.serving.gossip;

import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;

/** Collects the state updates of one turn of the event loop into one frame for all active routers. */
final class PendingFrame {

    private final ServingLoop loop;
    private final OutboundGossipStreams streams;
    private NewsFrame.Builder collected;

    /** Creates a collector without updates. */
    PendingFrame(ServingLoop loop, OutboundGossipStreams streams) {
        this.loop = loop;
        this.streams = streams;
    }

    /** Returns the frame that is sent at the end of this turn of the event loop. */
    NewsFrame.Builder frame() {
        if (collected == null) {
            collected = NewsFrame.newBuilder();
            loop.execute(this::flush);
        }
        return collected;
    }

    /** Sends the collected updates. */
    private void flush() {
        EncodedFrame frame = EncodedFrame.of(collected.build());
        collected = null;
        streams.sendToActive(frame);
    }
}
