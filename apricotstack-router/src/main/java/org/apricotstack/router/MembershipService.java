package org.apricotstack.router;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.MemberRecord;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;
import org.apricotstack.core.membership.ProbeExchange;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.membership.ServingHosts;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.time.MonotonicClock;
import org.tinylog.Logger;

/** Maintains the membership view, and creates and receives the payload of probes. */
final class MembershipService implements ProbeExchange {

    /** Maximum number of membership records per message, so that its size does not grow with the fleet. */
    private static final int MAX_RECORDS = 8;

    private final ProcessId self;
    private final MembershipTable table;
    private final Supplier<Roster> rosters;
    private final Supplier<Map<ReplicationTopic, Long>> versions;
    private final BiConsumer<HostId, Map<ReplicationTopic, Long>> onVersionsReported;
    private final MonotonicClock clock;
    private final ServingHosts serving = new ServingHosts();
    private MemberView view;
    private long viewOfTable = -1;
    private long viewOfRoster = -1;
    private long revision;
    private long unconfirmedRounds;

    /**
     * Creates the service.
     *
     * @param self this process
     * @param table the membership table
     * @param rosters the roster in force
     * @param versions the versions in force on this router; empty while it does not serve
     * @param onVersionsReported receives the versions of a peer
     * @param clock the local clock
     */
    MembershipService(
            ProcessId self,
            MembershipTable table,
            Supplier<Roster> rosters,
            Supplier<Map<ReplicationTopic, Long>> versions,
            BiConsumer<HostId, Map<ReplicationTopic, Long>> onVersionsReported,
            MonotonicClock clock) {
        this.self = self;
        this.table = table;
        this.rosters = rosters;
        this.versions = versions;
        this.onVersionsReported = onVersionsReported;
        this.clock = clock;
    }

    /** Returns the current view, which is rebuilt only after a change. */
    synchronized MemberView view() {
        Roster roster = rosters.get();
        if (view == null || viewOfTable != table.revision() || viewOfRoster != roster.version()) {
            if (viewOfRoster != roster.version()) {
                table.retain(roster.routers().keySet());
                serving.retain(roster.routers().keySet());
            }
            viewOfTable = table.revision();
            viewOfRoster = roster.version();
            MemberView next = MemberView.of(++revision, roster, table);
            logNewlyAvoided(next);
            view = next;
        }
        return view;
    }

    /** Writes the routers to the log that callers and attempts are no longer sent to. */
    private void logNewlyAvoided(MemberView next) {
        for (HostId host : next.avoided()) {
            if (view == null || !view.avoided().contains(host)) {
                Logger.info("event=peer_avoided at={} host={} state={}", self, host.value(), table.state(host));
            }
        }
    }

    /** Returns whether a router is known to serve. Other routers report it themselves. */
    boolean isKnownToServe(HostId host) {
        if (host.equals(self.host())) {
            return !versions.get().isEmpty();
        }
        return serving.serves(host, table.incarnation(host));
    }

    /** Returns routers that have not yet reported that they serve, at most {@code max}. */
    synchronized List<RosterHost> unconfirmedHosts(int max) {
        return serving.unconfirmed(view(), table, unconfirmedRounds++, max).stream()
                .filter(host -> !host.id().equals(self.host()))
                .toList();
    }

    @Override
    public ProbePayload payload() {
        return new ProbePayload(self, table.gossip(MAX_RECORDS), new EnumMap<>(versions.get()));
    }

    @Override
    public void receive(ProbeAnswer answer) {
        receive(answer.payload());
    }

    @Override
    public void receive(ProbePayload payload) {
        long now = clock.millis();
        table.recordAlive(payload.sender(), now);
        serving.recordStatus(payload.sender(), !payload.versions().isEmpty());
        for (MemberRecord record : payload.members()) {
            table.merge(record, now);
        }
        onVersionsReported.accept(payload.sender().host(), payload.versions());
    }
}
