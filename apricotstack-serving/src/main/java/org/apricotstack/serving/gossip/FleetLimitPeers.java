package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.OneWayPeers;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.PermitIssuerSelection;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.NewsFrame;

/** The other routers as known from heartbeats, for the exchange of rate limits and drains. */
final class FleetLimitPeers implements LimitPeers {

    private final ServingLoop loop;
    private final HostId own;
    private final PeerTable peers;
    private final PublishedState state;
    private final StartPhase start;
    private final BooleanSupplier ready;
    private final IntSupplier knownRouters;
    private final OneWayPeers oneWayPeers = new OneWayPeers();
    private HeartbeatSender heartbeats;
    private DatagramPort port;

    /** Creates peers that cannot be reached until {@link #sendThrough} is called. */
    FleetLimitPeers(
            ServingLoop loop,
            HostId own,
            PeerTable peers,
            PublishedState state,
            StartPhase start,
            BooleanSupplier ready,
            IntSupplier knownRouters) {
        this.loop = loop;
        this.own = own;
        this.peers = peers;
        this.state = state;
        this.start = start;
        this.ready = ready;
        this.knownRouters = knownRouters;
    }

    /** Sets the senders that reach the other routers. */
    void sendThrough(HeartbeatSender sender, DatagramPort datagrams) {
        heartbeats = sender;
        port = datagrams;
    }

    /** Records which hosts a router reports as silent. */
    void silentHostsReported(HostId reporter, List<String> silentHosts) {
        oneWayPeers.recordHeartbeat(reporter, silentHosts.contains(own.value()));
        if (!heartbeats.takesCallers()) {
            long now = loop.nowMillis();
            silentHosts.forEach(host -> peers.reportedSilent(new HostId(host), now));
        }
    }

    @Override
    public HostId own() {
        return own;
    }

    @Override
    public PermitIssuerSelection permitIssuerOf(UpstreamId upstream) {
        long now = loop.nowMillis();
        List<HostId> active = new ArrayList<>();
        List<HostId> others = new ArrayList<>();
        for (Peer peer : peers.alive(now)) {
            if (peer.ready()) {
                (peer.takesCallers() ? active : others).add(peer.process().host());
            }
        }
        if (ready.getAsBoolean()) {
            (heartbeats.takesCallers() ? active : others).add(own);
        }
        List<HostId> connected = active.isEmpty() ? others : active;
        PermitIssuerSelection selected =
                PermitIssuerSelection.of(upstream, connected, peers.silentEntryRouterCount(now));
        if (!own.equals(selected.host())) {
            return selected;
        }
        selected = selected.withoutOneWayPeers(oneWayPeers.countAmong(connected), connected.size());
        boolean incomplete = !start.hasPeerPlacements(knownRouters.getAsInt(), now);
        return incomplete ? new PermitIssuerSelection(null, selected.share()) : selected;
    }

    @Override
    public Address addressOf(HostId host) {
        return peers.addressOf(host);
    }

    @Override
    public int others() {
        return knownRouters.getAsInt() - 1;
    }

    @Override
    public boolean isSuperseded(UpstreamId upstream) {
        return state.isSuperseded(upstream);
    }

    @Override
    public void openStreams() {
        heartbeats.openStreams();
    }

    @Override
    public void sendToStandby(NewsFrame frame) {
        heartbeats.sendToStandby(EncodedFrame.of(frame));
    }

    @Override
    public void send(Address address, NewsFrame frame) {
        port.send(address, EncodedFrame.of(frame));
    }
}
