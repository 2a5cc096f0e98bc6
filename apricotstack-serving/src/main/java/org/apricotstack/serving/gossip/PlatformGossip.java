package org.apricotstack.serving.gossip;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.apricotstack.core.peer.EntryRouters;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerFetchPolicy;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.PlatformCheckers;
import org.apricotstack.core.peer.PlatformReaderSelection;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.Heartbeat;

/** Shares the published state among the routers of a data centre, of which one follows the platform. */
final class PlatformGossip {

    /**
     * Time in which a standby router coalesces changes of the platform, in milliseconds. A release of 22 upstreams
     * makes some 70 changes, each of which would cost each router a request. Together with two heartbeats of the
     * platform reader that it relies on, this stays below the three seconds within which changes have to be in force
     * in a large fleet.
     */
    static final long STANDBY_COALESCE_MILLIS = 600;

    private final ServingLoop loop;
    private final GossipHandler handler;
    private final PublishedState state;
    private final DocumentExchange documents;
    private final OutboundGossipStreams streams;
    private final HeartbeatSender heartbeats;
    private final BooleanSupplier readsPlatform;
    private final IntSupplier knownRouters;
    private final ConfigurationSpread configurations;
    private final PeerTable peers;
    private final PlatformCheckers checkers = new PlatformCheckers();
    private final PlatformReaderSelection readerSelection = new PlatformReaderSelection();
    private final ReportedPlatformState reported = new ReportedPlatformState();

    /** Creates the exchange for a router that follows the platform by itself. */
    PlatformGossip(
            ServingLoop loop,
            GossipHandler handler,
            PublishedState state,
            PeerTable peers,
            DocumentExchange documents,
            OutboundGossipStreams streams,
            HeartbeatSender heartbeats,
            BooleanSupplier readsPlatform,
            IntSupplier knownRouters,
            DecisionLog log) {
        this.loop = loop;
        this.handler = handler;
        this.state = state;
        this.documents = documents;
        this.streams = streams;
        this.heartbeats = heartbeats;
        this.readsPlatform = readsPlatform;
        this.knownRouters = knownRouters;
        this.peers = peers;
        this.configurations = new ConfigurationSpread(
                loop, handler, state, peers, documents, streams, heartbeats, this::mustReadPlatform, log);
    }

    /** Returns whether the fleet is so large that its routers share the published state. */
    private boolean isShared() {
        return EntryRouters.isLargeFleet(knownRouters.getAsInt());
    }

    /** Reports the known versions to the routers of this data centre, if they rely on this one. */
    void sendHeartbeats() {
        if (isShared() && readsPlatform.getAsBoolean()) {
            heartbeats.sendToDataCentre();
        }
    }

    /** Reports the known versions at once if they changed since the last report. */
    void reportChanges() {
        if (reported.update(state.configurationVersion(), state.upstreamsRevision(), state.upstreamsListed())) {
            sendHeartbeats();
        }
    }

    /** Returns the approximate number of routers that follow the platform at the same time. */
    int readers() {
        return isShared() ? streams.dataCentres() : knownRouters.getAsInt();
    }

    /** Returns whether this router has to follow the platform itself. */
    boolean mustReadPlatform() {
        return !isShared() || readerSelection.mustReadPlatform(heartbeats.peer(), loop.nowMillis());
    }

    /** Returns at which age of its knowledge this router checks the platform. */
    long checkAgeMillis() {
        return checkers.checkAgeMillis(heartbeats.peer(), peers.alive(loop.nowMillis()));
    }

    /** Announces to the routers that would check next that this router has just verified its knowledge. */
    void announceVerified() {
        Peer own = heartbeats.peer();
        heartbeats.sendTo(checkers.order(own, peers.alive(loop.nowMillis())).stream()
                .filter(peer -> !peer.process().equals(own.process()))
                .toList());
    }

    /**
     * Records which versions a peer knows and whether it follows the platform, and fetches documents from it if it
     * knows more than the platform, or the platform reader of this data centre, has reported to this router.
     */
    void recordPeer(Peer peer, Heartbeat heartbeat) {
        long now = loop.nowMillis();
        readerSelection.recordHeartbeat(peer, heartbeat.getReadsPlatform(), now);
        recordFreshness(peer, heartbeat.getPlatformAgeMillis() - 1, now);
        configurations.recordPeer(peer);
        boolean reliesOnReader = !mustReadPlatform();
        boolean isReader = reliesOnReader && readerSelection.reliesOn(heartbeats.peer(), peer, now);
        long reportDelayMillis = isReader ? 0 : PlatformReaderSelection.HEARTBEAT_MILLIS;
        long coalesceMillis = isShared() && !heartbeats.takesCallers() ? STANDBY_COALESCE_MILLIS : 0;
        boolean behind = documents.shouldFetch(
                peer, coalesceMillis + (reliesOnReader ? reportDelayMillis : PeerFetchPolicy.PLATFORM_GRACE_MILLIS));
        boolean differs = isReader && documents.hasDifferentUpstreams(peer, heartbeat.getUpstreamsListed());
        if ((behind || differs) && !streams.isReceiving()) {
            documents.fetch(peer, streams.open(peer.peerAddress(), handler), heartbeats.greeting());
        }
    }

    /** Records that this router knows all that a peer knows, which knew everything some time ago. */
    private void recordFreshness(Peer peer, long ageMillis, long nowMillis) {
        if (ageMillis >= 0
                && peer.configurationVersion() <= state.configurationVersion()
                && peer.upstreamsRevision() <= state.upstreamsRevision()) {
            state.freshness().verified(nowMillis - ageMillis);
        }
    }
}
