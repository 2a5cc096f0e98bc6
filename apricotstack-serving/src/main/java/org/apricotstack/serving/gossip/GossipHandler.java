package org.apricotstack.serving.gossip;

import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Handles the messages of other routers; called on the event loop. */
public interface GossipHandler {

    /**
     * Receives a frame.
     *
     * @param frame the frame
     * @param stream the stream that it arrived on, which knows its sender
     */
    void frame(NewsFrame frame, InboundGossipStream stream);

    /**
     * Replies to a document request.
     *
     * @param request the versions that the peer has
     * @return the documents that it lacks
     */
    NewsReply documents(DocumentRequest request);

    /**
     * Receives documents that this router requested.
     *
     * @param reply the documents
     * @param source who sent them, for the log
     */
    void reply(NewsReply reply, String source);
}
