package org.apricotstack.serving.gossip;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.apricotstack.core.peer.EntryRouters;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerFetchPolicy;
import org.apricotstack.core.peer.PlatformReaderSelection;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.publication.PublishedState;

/** Shares among the routers of a data centre what one of them reads of the platform. */
final class PlatformGossip {

    /**
     * Time in which a router that stands by gathers changes of the platform, in milliseconds. A release of 22 upstreams
     * is some 70 changes, and each would cost each router a question. With two words of the reader it relies on it
     * stays below the three seconds within which changes have to be in force in a large fleet.
     */
    static final long STAND_BY_GATHER_MILLIS = 600;

    private final ServingLoop loop;
    private final GossipHandler sink;
    private final PublishedState state;
    private final DocumentExchange documents;
    private final OutboundGossipStreams links;
    private final HeartbeatSender heartbeats;
    private final BooleanSupplier readsPlatform;
    private final IntSupplier knownRouters;
    private final PlatformReaderSelection readers = new PlatformReaderSelection();
    private final ReportedPlatformState told = new ReportedPlatformState();

    /** Creates the share of a router that reads by itself. */
    PlatformGossip(
            ServingLoop loop,
            GossipHandler sink,
            PublishedState state,
            DocumentExchange documents,
            OutboundGossipStreams links,
            HeartbeatSender heartbeats,
            BooleanSupplier readsPlatform,
            IntSupplier knownRouters) {
        this.loop = loop;
        this.sink = sink;
        this.state = state;
        this.documents = documents;
        this.links = links;
        this.heartbeats = heartbeats;
        this.readsPlatform = readsPlatform;
        this.knownRouters = knownRouters;
    }

    /** Tells whether the fleet is so large that its routers share what they read. */
    private boolean isShared() {
        return EntryRouters.isLargeFleet(knownRouters.getAsInt());
    }

    /** Tells the routers of this data centre what is known of the platform, if they rely on this one for it. */
    void tell() {
        if (isShared() && readsPlatform.getAsBoolean()) {
            heartbeats.beatToDataCentre();
        }
    }

    /** Tells them at once if more is known than they were told of. */
    void tellChanges() {
        if (told.update(state.configurationVersion(), state.upstreamsRevision(), state.upstreamsListed())) {
            tell();
        }
    }

    /** Returns how many routers follow the platform at the same time, about. */
    int readers() {
        return isShared() ? links.dataCentres() : knownRouters.getAsInt();
    }

    /** Tells whether this router has to follow the platform itself. */
    boolean mustRead() {
        return !isShared() || readers.mustReadPlatform(heartbeats.peer(), loop.nowMillis());
    }

    /**
     * Takes in what a peer knows and whether it reads, and asks it for documents if it knows more than the platform, or
     * the reader of this data centre, told here.
     */
    void heard(Peer peer, boolean reads, int upstreamsListed) {
        long now = loop.nowMillis();
        readers.recordHeartbeat(peer, reads, now);
        boolean relies = !mustRead();
        boolean isReader = relies && readers.reliesOn(heartbeats.peer(), peer, now);
        long readerMillis = isReader ? 0 : PlatformReaderSelection.HEARTBEAT_MILLIS;
        long gatherMillis = isShared() && !heartbeats.takesCallers() ? STAND_BY_GATHER_MILLIS : 0;
        boolean behind =
                documents.isToAsk(peer, gatherMillis + (relies ? readerMillis : PeerFetchPolicy.PLATFORM_GRACE_MILLIS));
        if (behind || isReader && documents.listsOthers(peer, upstreamsListed)) {
            documents.ask(peer, links.open(peer.peerAddress(), sink), heartbeats.greeting());
        }
    }
}
