package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerFetchPolicy;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Asks peers for published documents that the platform did not tell this router, and answers theirs. */
final class DocumentExchange {

    private final ServingLoop loop;
    private final PublishedState state;
    private final DecisionLog log;
    private final Runnable whenBehind;
    private final PeerFetchPolicy catchUp = new PeerFetchPolicy();
    private boolean needsWhole;

    /** Creates the exchange of documents. */
    DocumentExchange(ServingLoop loop, PublishedState state, DecisionLog log, Runnable whenBehind) {
        this.loop = loop;
        this.state = state;
        this.log = log;
        this.whenBehind = whenBehind;
    }

    /** Takes in what a peer knows, and tells whether to ask it now. */
    boolean isToAsk(Peer peer, long behindMillis) {
        return catchUp.shouldFetch(
                peer, state.configurationVersion(), state.upstreamsRevision(), behindMillis, loop.nowMillis());
    }

    /** Tells whether to ask a reader that lists other upstreams at the same revision: some did not come back there. */
    boolean listsOthers(Peer reader, int listed) {
        return reader.upstreamsRevision() == state.upstreamsRevision()
                && listed != state.upstreamsListed()
                && catchUp.mayFetch(loop.nowMillis());
    }

    /** Asks a peer for what it knows and this router does not. */
    void ask(Peer peer, OutboundGossipStream link, EncodedFrame greeting) {
        // One revision less than known, as a list may differ at the same revision.
        long known = Math.max(0, state.upstreamsRevision() - 1);
        NewsFrame request = NewsFrame.newBuilder()
                .setDocuments(DocumentRequest.newBuilder()
                        .setConfigurationVersion(state.configurationVersion())
                        .setUpstreamsRevision(needsWhole ? 0 : known)
                        .setNewerOnly(known > 0 && !needsWhole))
                .build();
        if (link.ask(greeting, request)) {
            catchUp.fetchStarted(loop.nowMillis());
            log.line("peer_asked")
                    .put("peer", peer.process().host().value())
                    .put("peer_configuration", peer.configurationVersion())
                    .put("peer_upstreams", Revisions.text(peer.upstreamsRevision()))
                    .put("own_configuration", state.configurationVersion())
                    .put("own_upstreams", Revisions.text(state.upstreamsRevision()))
                    .write();
        }
        whenBehind.run();
    }

    /** Answers a peer with what it lacks. */
    NewsReply answer(DocumentRequest request) {
        NewsReply.Builder reply = NewsReply.newBuilder();
        if (state.configurationVersion() > request.getConfigurationVersion()) {
            reply.setConfiguration(GossipMessages.document(state.configurationDocument()));
        }
        if (state.upstreamsRevision() > request.getUpstreamsRevision()) {
            reply.setUpstreamsRevision(state.upstreamsRevision());
            for (Publication upstream : state.upstreamDocuments()) {
                if (request.getNewerOnly()) {
                    reply.addUpstreamNames(upstream.upstream().value());
                }
                if (!request.getNewerOnly() || upstream.revision() > request.getUpstreamsRevision()) {
                    reply.addUpstreams(GossipMessages.document(upstream));
                }
            }
        }
        return reply.build();
    }

    /** Takes in what a peer answered. */
    void take(NewsReply reply, String source) {
        if (reply.hasConfiguration()) {
            state.take(GossipMessages.publication(reply.getConfiguration()), source);
        }
        if (reply.getUpstreamsRevision() == 0 || reply.getUpstreamsRevision() < state.upstreamsRevision()) {
            return;
        }
        List<Publication> upstreams = reply.getUpstreamsList().stream()
                .map(GossipMessages::publication)
                .toList();
        if (reply.getUpstreamNamesCount() > 0) {
            List<UpstreamId> names =
                    reply.getUpstreamNamesList().stream().map(UpstreamId::new).toList();
            needsWhole = !state.takeChangedUpstreams(
                    upstreams, names, reply.getUpstreamsRevision(), source, loop.nowMillis());
            return;
        }
        needsWhole = false;
        state.takeAllUpstreams(upstreams, reply.getUpstreamsRevision(), source, loop.nowMillis());
        state.caughtUp(reply.getUpstreamsRevision());
    }
}
