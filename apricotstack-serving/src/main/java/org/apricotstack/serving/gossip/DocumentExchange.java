package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerFetchPolicy;
import org.apricotstack.core.upstream.Evacuation;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/**
 * Fetches published documents from peers that the platform has not reported to this router, and serves the requests of
 * peers.
 */
final class DocumentExchange {

    private final ServingLoop loop;
    private final PublishedState state;
    private final DecisionLog log;
    private final Runnable onBehind;
    private final PeerFetchPolicy fetchPolicy = new PeerFetchPolicy();
    private boolean needsSnapshot;

    /** Creates an exchange that has requested nothing yet. */
    DocumentExchange(ServingLoop loop, PublishedState state, DecisionLog log, Runnable onBehind) {
        this.loop = loop;
        this.state = state;
        this.log = log;
        this.onBehind = onBehind;
    }

    /** Returns whether to fetch documents from a peer now, given the versions that it reported. */
    boolean shouldFetch(Peer peer, long behindMillis) {
        boolean behind = fetchPolicy.shouldFetch(
                peer, state.configurationVersion(), state.upstreamsRevision(), behindMillis, loop.nowMillis());
        return behind || mayHaveMissingEvacuations(peer);
    }

    /**
     * Returns whether to fetch from a peer because this router has upstreams but no list of evacuations, as when a
     * router that does not follow evacuations sent the upstreams. Then no peer need have a newer revision.
     */
    private boolean mayHaveMissingEvacuations(Peer peer) {
        return !state.evacuations().complete()
                && state.upstreamsRevision() > 0
                && peer.ready()
                && peer.upstreamsRevision() >= state.upstreamsRevision()
                && fetchPolicy.mayFetch(loop.nowMillis());
    }

    /**
     * Returns whether to fetch from the platform reader because it lists a different number of upstreams at the same
     * revision, as when some did not come back after an outage.
     */
    boolean hasDifferentUpstreams(Peer reader, int listed) {
        return reader.upstreamsRevision() == state.upstreamsRevision()
                && listed != state.upstreamsListed()
                && fetchPolicy.mayFetch(loop.nowMillis());
    }

    /** Requests the documents that a peer knows and this router lacks. */
    void fetch(Peer peer, GossipStream stream, EncodedFrame greeting) {
        // One less than the known revision, as the lists may differ at the same revision.
        long known = Math.max(0, state.upstreamsRevision() - 1);
        NewsFrame request = NewsFrame.newBuilder()
                .setDocuments(DocumentRequest.newBuilder()
                        .setConfigurationVersion(state.configurationVersion())
                        .setUpstreamsRevision(Revisions.toMessage(needsSnapshot ? 0 : known))
                        .setNewerOnly(known > 0 && !needsSnapshot))
                .build();
        if (stream.fetch(greeting, request)) {
            fetchPolicy.fetchStarted(loop.nowMillis());
            log.line("peer_asked")
                    .put("peer", peer.process().host().value())
                    .put("peer_configuration", peer.configurationVersion())
                    .put("peer_upstreams", Revisions.text(peer.upstreamsRevision()))
                    .put("own_configuration", state.configurationVersion())
                    .put("own_upstreams", Revisions.text(state.upstreamsRevision()))
                    .write();
        }
        onBehind.run();
    }

    /** Returns the documents that a peer lacks. */
    NewsReply answer(DocumentRequest request) {
        NewsReply.Builder reply = NewsReply.newBuilder();
        if (state.configurationVersion() > request.getConfigurationVersion()) {
            reply.setConfiguration(GossipMessages.document(state.configurationDocument()));
        }
        long known = Revisions.fromMessage(request.getUpstreamsRevision());
        if (state.upstreamsRevision() > known) {
            reply.setUpstreamsRevision(Revisions.toMessage(state.upstreamsRevision()));
            reply.setEvacuationsRevision(Revisions.toMessage(state.evacuations().completeRevision()));
            for (Evacuation evacuation : state.evacuations().all()) {
                reply.addEvacuations(GossipMessages.evacuation(evacuation, loop.nowMillis()));
            }
            for (Evacuation removed : state.evacuations().removedAfterLoss()) {
                reply.addEvacuationsRemoved(GossipMessages.evacuation(removed, loop.nowMillis()));
            }
            for (Publication upstream : state.upstreamDocuments()) {
                if (request.getNewerOnly()) {
                    reply.addUpstreamNames(upstream.upstream().value());
                }
                if (!request.getNewerOnly() || upstream.revision() > known) {
                    reply.addUpstreams(GossipMessages.document(upstream));
                }
            }
        }
        return reply.build();
    }

    /** Applies the reply of a peer. */
    void receive(NewsReply reply, String source) {
        if (reply.hasConfiguration()) {
            state.apply(GossipMessages.publication(reply.getConfiguration()), source);
        }
        long revision = Revisions.fromMessage(reply.getUpstreamsRevision());
        if (revision == 0 || revision < state.upstreamsRevision()) {
            return;
        }
        long evacuationsRevision = Revisions.fromMessage(reply.getEvacuationsRevision());
        if (evacuationsRevision > 0) {
            List<Evacuation> evacuations = reply.getEvacuationsList().stream()
                    .map(evacuation -> GossipMessages.evacuation(evacuation, loop.nowMillis()))
                    .toList();
            List<Evacuation> removed = reply.getEvacuationsRemovedList().stream()
                    .map(evacuation -> GossipMessages.evacuation(evacuation, loop.nowMillis()))
                    .toList();
            state.evacuations().receiveRemoved(removed);
            state.evacuations().receive(evacuations, evacuationsRevision, source, loop.nowMillis());
        }
        List<Publication> upstreams = reply.getUpstreamsList().stream()
                .map(GossipMessages::publication)
                .toList();
        if (reply.getUpstreamNamesCount() > 0) {
            List<UpstreamId> names =
                    reply.getUpstreamNamesList().stream().map(UpstreamId::new).toList();
            needsSnapshot = !state.applyUpstreamChanges(upstreams, names, revision, source, loop.nowMillis());
            return;
        }
        needsSnapshot = false;
        state.applyUpstreamSnapshot(upstreams, revision, source, loop.nowMillis());
        state.changesKnownUpTo(revision);
    }
}
