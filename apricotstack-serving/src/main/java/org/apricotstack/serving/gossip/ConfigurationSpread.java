package org.apricotstack.serving.gossip;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import org.apricotstack.core.peer.AnnouncementTargets;
import org.apricotstack.core.peer.ConfigurationFetchPolicy;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.publication.PublishedState;

/** Announces each configuration as soon as it is in force, and fetches one that peers have and this router lacks. */
final class ConfigurationSpread {

    private final ServingLoop loop;
    private final GossipHandler handler;
    private final PublishedState state;
    private final PeerTable peers;
    private final DocumentExchange documents;
    private final OutboundGossipStreams streams;
    private final HeartbeatSender heartbeats;
    private final BooleanSupplier followsPlatform;
    private final ConfigurationFetchPolicy policy = new ConfigurationFetchPolicy();
    private final AnnouncementTargets targets = new AnnouncementTargets();
    private long timerDueMillis = Long.MAX_VALUE;

    /** Creates the exchange; configurations are announced from now on. */
    ConfigurationSpread(
            ServingLoop loop,
            GossipHandler handler,
            PublishedState state,
            PeerTable peers,
            DocumentExchange documents,
            OutboundGossipStreams streams,
            HeartbeatSender heartbeats,
            BooleanSupplier followsPlatform) {
        this.loop = loop;
        this.handler = handler;
        this.state = state;
        this.peers = peers;
        this.documents = documents;
        this.streams = streams;
        this.heartbeats = heartbeats;
        this.followsPlatform = followsPlatform;
        state.onConfigurationInForce(this::announce);
    }

    /** Announces the configuration that has just come into force. */
    private void announce() {
        long version = state.configurationVersion();
        boolean first = !policy.isKnownLocally(version);
        policy.inForce(version);
        heartbeats.sendTo(targets.choose(heartbeats.peer(), peers.alive(loop.nowMillis()), first, version));
    }

    /** Records which configuration a peer has, and fetches it when that is due. */
    void recordPeer(Peer peer) {
        boolean local = peer.dataCentre().equals(heartbeats.peer().dataCentre());
        policy.recordPeer(peer, local, state.configurationVersion(), loop.nowMillis());
        fetchIfDue();
    }

    /** Fetches if a fetch is due, and sets the timer for the next one. */
    private void fetchIfDue() {
        long now = loop.nowMillis();
        OptionalLong due = policy.dueMillis(followsPlatform.getAsBoolean());
        if (due.isPresent() && due.getAsLong() <= now) {
            policy.fetchStarted(now)
                    .ifPresent(peer ->
                            documents.fetch(peer, streams.open(peer.peerAddress(), handler), heartbeats.greeting()));
            due = policy.dueMillis(followsPlatform.getAsBoolean());
        }
        if (due.isPresent() && due.getAsLong() < timerDueMillis) {
            timerDueMillis = due.getAsLong();
            loop.schedule(timerDueMillis - now, () -> {
                timerDueMillis = Long.MAX_VALUE;
                fetchIfDue();
            });
        }
    }
}
