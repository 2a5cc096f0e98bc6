package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.RequestRate;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;

/** What this router tells others of itself, and whether it decides on requests. */
final class OwnHeartbeat {

    /** Requests a second from which on a router that callers are not sent to wants to hear of placements. */
    private static final double STRAY_REQUESTS_PER_SECOND = 0.5;

    /** Routers of each data centre that hear of placements before callers are sent to them. */
    private static final int STAND_BY = 1;

    /** Heartbeats after the start that tell of other routers. */
    private static final long FIRST_BEATS = 6;

    /** How often later heartbeats do; addresses change seldom. */
    private static final long ADDRESS_BEATS = 8;

    /** Addresses told in one heartbeat, at most. */
    private static final int MOST_ADDRESSES = 16;

    /** Addresses told to a router that was not heard before, at most: as many as fit in a datagram of 1,400 bytes. */
    private static final int MOST_INTRODUCED = 48;

    /** Hosts told to be silent in one heartbeat, at most: as many as fit in a datagram beside the rest. */
    private static final int MOST_SILENT = 24;

    private final ServingLoop loop;
    private final RouterIdentity self;
    private final PeerTable peers;
    private final PublishedState state;
    private final BooleanSupplier ready;
    private final RequestRate requests;
    private final BooleanSupplier readsPlatform;
    private List<Address> told = List.of();
    private int nextAddress;
    private long beats;

    /** Creates the heartbeat of a router. */
    OwnHeartbeat(
            ServingLoop loop,
            RouterIdentity self,
            PeerTable peers,
            PublishedState state,
            BooleanSupplier ready,
            RequestRate requests,
            BooleanSupplier readsPlatform) {
        this.loop = loop;
        this.readsPlatform = readsPlatform;
        this.self = self;
        this.peers = peers;
        this.state = state;
        this.ready = ready;
        this.requests = requests;
    }

    /** Begins another round; some rounds tell the addresses of other routers too. */
    void nextRound() {
        beats++;
        boolean tells = beats <= FIRST_BEATS || beats % ADDRESS_BEATS == 0;
        told = tells ? someAddresses(MOST_ADDRESSES) : List.of();
    }

    /** Tells whether this router can serve callers. */
    boolean isReady() {
        return ready.getAsBoolean();
    }

    /** Returns where this router stands. */
    DataCentreId dataCentre() {
        return self.dataCentre();
    }

    /** Returns this router as others hear of it. */
    Peer peer(boolean takesCallers, long nextMillis) {
        return new Peer(
                self.process(),
                self.dataCentre(),
                self.callerAddress(),
                self.peerAddress(),
                ready.getAsBoolean(),
                state.configurationVersion(),
                state.upstreamsRevision(),
                self.capacityPercent(),
                requests.perSecond(),
                takesCallers,
                nextMillis);
    }

    /** Tells whether this router decides on requests: callers are or may soon be sent here, or come all the same. */
    boolean takesCallers(long nowMillis) {
        boolean chosen = peers.entryRouters(peer(true, 0), STAND_BY, nowMillis).stream()
                .anyMatch(peer -> peer.process().equals(self.process()));
        return chosen || requests.perSecond() > STRAY_REQUESTS_PER_SECOND;
    }

    /** Writes the heartbeat. */
    EncodedFrame frame(boolean takesCallers, long nextMillis) {
        return frame(takesCallers, nextMillis, told);
    }

    /** Writes a heartbeat for a router that was not heard before: it may know only its seeds. */
    EncodedFrame introduction(boolean takesCallers, long nextMillis) {
        return frame(takesCallers, nextMillis, someAddresses(MOST_INTRODUCED));
    }

    /** Writes a heartbeat that tells some addresses. */
    private EncodedFrame frame(boolean takesCallers, long nextMillis, List<Address> addresses) {
        Heartbeat.Builder beat = GossipMessages.heartbeat(peer(takesCallers, nextMillis))
                .setReadsPlatform(readsPlatform.getAsBoolean())
                .setUpstreamsListed(state.upstreamsListed());
        if (takesCallers) {
            peers.suspectedHosts(MOST_SILENT, loop.nowMillis()).forEach(host -> beat.addSilentHosts(host.value()));
        }
        addresses.forEach(address -> beat.addPeerAddresses(address.toString()));
        return EncodedFrame.of(NewsFrame.newBuilder().setHeartbeat(beat).build());
    }

    /** Returns a part of the known addresses, the next one each time. */
    private List<Address> someAddresses(int most) {
        List<Address> all = List.copyOf(peers.addresses());
        List<Address> some = new ArrayList<>();
        for (int i = 0; i < Math.min(most, all.size()); i++) {
            some.add(all.get((nextAddress + i) % all.size()));
        }
        nextAddress = (nextAddress + some.size()) % Math.max(1, all.size());
        return some;
    }
}
