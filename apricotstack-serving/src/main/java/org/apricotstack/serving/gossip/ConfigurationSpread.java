package org.apricotstack.serving.gossip;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import org.apricotstack.core.peer.AnnouncementTargets;
import org.apricotstack.core.peer.ConfigurationFetchPolicy;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
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
    private final DecisionLog log;
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
            BooleanSupplier followsPlatform,
            DecisionLog log) {
        this.loop = loop;
        this.handler = handler;
        this.state = state;
        this.peers = peers;
        this.documents = documents;
        this.streams = streams;
        this.heartbeats = heartbeats;
        this.followsPlatform = followsPlatform;
        this.log = log;
        state.onConfigurationInForce(this::announce);
    }

    /** Announces the configuration that has just come into force. */
    private void announce() {
        long version = state.configurationVersion();
        long now = loop.nowMillis();
        boolean first = !policy.isKnownLocally(version);
        OptionalLong firstReport = policy.firstReportMillis(version);
        policy.inForce(version);
        List<Peer> receivers = targets.choose(heartbeats.peer(), peers.alive(now), first, version);
        heartbeats.sendTo(receivers);
        log.line("configuration_announced")
                .put("version", version)
                .put("first_in_data_centre", first)
                .put("receivers", receivers.size())
                .put("behind_millis", firstReport.isPresent() ? now - firstReport.getAsLong() : 0)
                .put("platform_age_millis", state.freshness().ageMillis(now))
                .write();
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
        if (due.isPresent() && streams.isReceiving()) {
            due = OptionalLong.of(Math.max(due.getAsLong(), now + ConfigurationFetchPolicy.HEDGE_MILLIS));
        } else if (due.isPresent() && due.getAsLong() <= now) {
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
