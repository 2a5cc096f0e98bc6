package org.apricotstack.serving.gossip;

import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Takes what other routers tell; called on the event loop. */
public interface GossipHandler {

    /**
     * Takes a frame.
     *
     * @param frame the frame
     * @param stream the stream that it came on, which knows its sender
     */
    void frame(NewsFrame frame, InboundGossipStream stream);

    /**
     * Answers a request for documents.
     *
     * @param request what the peer has
     * @return what it lacks
     */
    NewsReply documents(DocumentRequest request);

    /**
     * Takes documents that this router asked for.
     *
     * @param reply the documents
     * @param source who sent them, for the log
     */
    void reply(NewsReply reply, String source);
}
