package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.RequestRate;
import org.apricotstack.core.ratelimit.PermitIssuerSelection;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Selection of the permit issuer of an upstream, given the heartbeats of the other routers. */
class FleetLimitPeersTest {

    private static final Address ANY = new Address("127.0.0.1", 0);
    private static final HostId OWN = new HostId("own");
    private static final HostId PEER = new HostId("peer");
    private static final UpstreamId UPSTREAM = new UpstreamId("upstream");

    private long nowMillis;
    private boolean ready = true;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("own", () -> 0);
    private final HeartbeatPort port = new HeartbeatPort(loop, ANY);
    private final PeerTable peers = new PeerTable();
    private final PublishedState state =
            new PublishedState(null, new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
    private final StartPhase start = new StartPhase(0);
    private int knownRouters = 1;
    private final FleetLimitPeers fleet =
            new FleetLimitPeers(loop, OWN, peers, state, start, () -> ready, () -> knownRouters);

    @BeforeEach
    void connect() {
        RouterIdentity identity = new RouterIdentity(
                new ProcessId(OWN, 1), new DataCentreId("east"), port.address(), port.address(), 100);
        OwnHeartbeat own = new OwnHeartbeat(loop, identity, peers, state, () -> ready, new RequestRate(0), () -> true);
        OutboundGossipStreams streams = new OutboundGossipStreams(loop, peers, () -> null);
        HeartbeatSender sender =
                new HeartbeatSender(null, own, peers, streams, port, start, port.address(), () -> 500, () -> false);
        fleet.sendThrough(sender, port);
        sender.sendHeartbeats(0);
    }

    @AfterEach
    void stop() {
        port.close();
        loop.close();
        log.close();
    }

    private void addPeer(HostId host, boolean isReady, boolean takesCallers) {
        Address address = new Address("127.0.0.1", 1_000 + host.value().length());
        peers.recordHeartbeat(
                new Peer(
                        new ProcessId(host, 1),
                        new DataCentreId("east"),
                        address,
                        address,
                        isReady,
                        1,
                        1,
                        100,
                        0,
                        takesCallers,
                        500),
                nowMillis);
    }

    /** Returns an upstream whose permit issuer is the given host if both routers are in touch. */
    private UpstreamId upstreamIssuedBy(HostId host) {
        for (int i = 0; ; i++) {
            UpstreamId upstream = new UpstreamId("upstream-" + i);
            if (PermitIssuerSelection.of(upstream, List.of(OWN, PEER), 0).host().equals(host)) {
                return upstream;
            }
        }
    }

    @Test
    void selectsThisRouterIfItIsAlone() {
        assertThat(fleet.permitIssuerOf(UPSTREAM)).isEqualTo(new PermitIssuerSelection(OWN, 1));
    }

    @Test
    void selectsNobodyUntilTheOtherKnownRoutersHaveReported() {
        knownRouters = 2;
        assertThat(fleet.permitIssuerOf(UPSTREAM).host()).isNull();
        start.placementsReportedBy(PEER);
        assertThat(fleet.permitIssuerOf(UPSTREAM).host()).isEqualTo(OWN);
    }

    @Test
    void selectsTheSameRouterAsTheOthers() {
        addPeer(PEER, true, true);
        knownRouters = 2;
        start.placementsReportedBy(PEER);
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(PEER))).isEqualTo(new PermitIssuerSelection(PEER, 1));
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(OWN))).isEqualTo(new PermitIssuerSelection(OWN, 1));
    }

    @Test
    void skipsStandbyAndStoppingRouters() {
        knownRouters = 2;
        start.placementsReportedBy(PEER);
        addPeer(PEER, true, false);
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(PEER)).host()).isEqualTo(OWN);
        addPeer(PEER, false, true);
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(PEER)).host()).isEqualTo(OWN);
        addPeer(PEER, true, true);
        ready = false;
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(OWN)).host()).isEqualTo(PEER);
    }

    @Test
    void issuesOnlyTheShareOfTheRoutersThatHearThisOne() {
        addPeer(PEER, true, true);
        knownRouters = 2;
        start.placementsReportedBy(PEER);
        fleet.silentHostsReported(PEER, List.of(OWN.value()));
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(OWN))).isEqualTo(new PermitIssuerSelection(OWN, 0.5));
        fleet.silentHostsReported(PEER, List.of());
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(OWN))).isEqualTo(new PermitIssuerSelection(OWN, 1));
    }

    @Test
    void issuesNoMoreThanHalfIfASilentStandbyRouterMayIssueTheOtherHalf() {
        addPeer(PEER, true, false);
        knownRouters = 2;
        start.placementsReportedBy(PEER);
        nowMillis = 10_000;
        assertThat(fleet.permitIssuerOf(UPSTREAM).share()).isLessThanOrEqualTo(0.5);
    }

    @Test
    void issuesHalfOfTheLimitIfHalfOfTheRoutersAreSilent() {
        addPeer(PEER, true, true);
        nowMillis = 10_000;
        assertThat(fleet.permitIssuerOf(upstreamIssuedBy(PEER))).isEqualTo(new PermitIssuerSelection(OWN, 0.5));
    }
}
